package listener

import (
	"cmp"
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// maxEarlyBody is the size of an early response's body, in bytes, that is held until it is its
// turn. The rest is written then.
const maxEarlyBody = 64 << 10

// early is a request that is handled before it is its turn on its connection.
type early struct {
	// head is the request's head, as sent by the caller.
	head []byte
	// number is the request's number on its connection.
	number int
	cancel context.CancelFunc

	mu     sync.Mutex
	header http.Header
	// status is 0 until the response has begun.
	status int
	body   []byte
	// taken is set once it is the request's turn.
	taken bool
	// ended is set once the handler has returned, aborted if it broke off the response.
	ended, aborted bool
	// changed is closed and replaced at each change.
	changed chan struct{}
	ctx     context.Context
}

// beginRequest handles a request in the background.
func beginRequest(ctx context.Context, handler http.Handler, r *http.Request) *early {
	ctx, cancel := context.WithCancel(ctx)
	e := &early{cancel: cancel, header: make(http.Header), changed: make(chan struct{}), ctx: ctx}
	go e.handle(handler, r.WithContext(ctx))
	return e
}

func (e *early) handle(handler http.Handler, r *http.Request) {
	defer func() {
		p := recover()
		if err, _ := p.(error); p != nil && !errors.Is(err, http.ErrAbortHandler) {
			klog.ErrorS(nil, "Handler of a request that was begun early has panicked", "panic", p)
		}
		e.update(func() { e.ended, e.aborted = true, p != nil })
	}()
	handler.ServeHTTP(e, r)
}

// update changes the state and wakes who waits for it.
func (e *early) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	close(e.changed)
	e.changed = make(chan struct{})
}

// Header returns the header of the response.
func (e *early) Header() http.Header { return e.header }

// WriteHeader begins the response.
func (e *early) WriteHeader(status int) {
	e.update(func() {
		if e.status == 0 {
			e.status = status
		}
	})
}

// Write adds to the body. It waits for the request's turn while the body is too large to be held.
func (e *early) Write(data []byte) (int, error) {
	for {
		e.mu.Lock()
		room, changed := e.taken && len(e.body) == 0 || len(e.body)+len(data) <= maxEarlyBody, e.changed
		e.mu.Unlock()
		if room {
			break
		}
		select {
		case <-changed:
		case <-e.ctx.Done():
			return 0, context.Cause(e.ctx)
		}
	}
	e.update(func() {
		if e.status == 0 {
			e.status = http.StatusOK
		}
		e.body = append(e.body, data...)
	})
	return len(data), nil
}

// respond writes the response to the caller, now that it is its turn. It aborts the connection if
// the response was broken off.
func (e *early) respond(w http.ResponseWriter) {
	defer e.cancel()
	e.update(func() { e.taken = true })
	begun := false
	for {
		status, part, ended, aborted, changed := e.takePart()
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if (status != 0 || ended) && !begun {
			begun = true
			copyHeader(w.Header(), e.header)
			// A handler need not state the status of an empty response.
			w.WriteHeader(cmp.Or(status, http.StatusOK))
		}
		if len(part) > 0 {
			if _, err := w.Write(part); err != nil {
				panic(http.ErrAbortHandler)
			}
			continue
		}
		if ended {
			return
		}
		<-changed
	}
}

// takePart returns what there is of the response, and takes the part of the body away.
func (e *early) takePart() (status int, part []byte, ended, aborted bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	part, e.body = e.body, nil
	changed = e.changed
	if len(part) > 0 {
		close(e.changed)
		e.changed = make(chan struct{})
	}
	return e.status, part, e.ended, e.aborted, changed
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
