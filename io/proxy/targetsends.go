package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/attempt"
	"pineturn/core/placement"
)

var errPathLost = errors.New("no path to the targets")

// targetSends are the sends of a request to targets that are in progress at the same time, two at most.
type targetSends struct {
	proxy   *Proxy
	request *request
	ctx     context.Context
	cancel  context.CancelCauseFunc
	cancels map[string]context.CancelCauseFunc
	results chan sendResult
	running int
	// best is the best result so far.
	best sendResult
	// pathLost is closed once the path to the targets looks lost and a send is overdue.
	pathLost chan struct{}
	onLost   func()
	sentAt   time.Time
}

func (p *Proxy) newTargetSends(ctx context.Context, q *request) *targetSends {
	s := &targetSends{
		proxy: p, request: q, cancels: make(map[string]context.CancelCauseFunc, 2), results: make(chan sendResult, 2), pathLost: make(chan struct{}), sentAt: p.clock.Now(),
	}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.onLost = sync.OnceFunc(func() { close(s.pathLost) })
	return s
}

// start sends the request to a target.
func (s *targetSends) start(choice *placement.Choice) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	s.cancels[choice.Entry.ID] = cancel
	s.request.progress.RecordSend()
	s.running++
	go func() { s.results <- s.proxy.roundTrip(ctx, s.request, choice, s.onLost) }()
}

// end records the result of a send, and reports whether best is the result of all. A complete response ends the
// other send.
func (s *targetSends) end(result sendResult) bool {
	s.running--
	if len(s.cancels)-s.running == 1 {
		s.best = result
	} else {
		s.best = preferred(s.best, result)
	}
	if s.best.result != attempt.Complete {
		return s.running == 0
	}
	for target, cancel := range s.cancels {
		if target != s.best.target {
			cancel(errSuperseded)
		}
	}
	return true
}

// pending returns the sends as one that goes on without the goroutine of the request.
func (s *targetSends) pending() *pendingSend {
	pending := &pendingSend{
		sentAt: s.sentAt, replied: make(chan struct{}), cancel: s.cancel,
		result: func() sendResult { return s.best }, discard: s.discard,
	}
	go func() {
		for !s.end(<-s.results) {
		}
		pending.complete = s.best.result == attempt.Complete
		close(pending.replied)
	}()
	return pending
}

// discard releases the response.
func (s *targetSends) discard() {
	if s.best.response != nil {
		s.best.response.close()
	}
}
