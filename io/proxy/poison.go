package proxy

import (
	"context"
	"encoding/binary"
	"io"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/placement"
	"pineturn/core/poison"
)

const (
	// poisonRetryAfter is the time after which the caller of a request that ends targets may
	// retry: it is refused until the software of its targets has changed.
	poisonRetryAfter = time.Minute
	// endProbePause is the time after a probe that found a target alive in which lost responses
	// cause no further one. Targets may reset connections while they are full.
	endProbePause = 500 * time.Millisecond
	// maxEndProbes bounds the targets of which the last probe is remembered.
	maxEndProbes = 1024
)

// newFingerprint returns what is the same in each attempt of a request.
func (q *request) newFingerprint() poison.Fingerprint {
	q.fingerprinted.Store(true)
	var numbers []byte
	numbers = binary.BigEndian.AppendUint64(numbers, uint64(q.body.length))
	if q.HasKey {
		numbers = binary.BigEndian.AppendUint16(numbers, q.Key)
	}
	return poison.NewFingerprint([]byte(q.method), []byte(strings.ToLower(q.host)), []byte(q.path), []byte(q.query), []byte(q.Caller), numbers, q.body.buffered)
}

// blockOf returns the block of a request, if it is refused.
func (p *Proxy) blockOf(q *request) (poison.Block, bool) {
	if !p.poison.AnyBlock() {
		return poison.Block{}, false
	}
	return p.poison.Find(q.fingerprint(), p.clock.Now())
}

// excludeBlocked excludes the targets that must not run a request, and reports whether others of
// its service may.
func (p *Proxy) excludeBlocked(q *request, block poison.Block) bool {
	others := false
	for _, e := range p.targets.Entries(q.match.Service.Name) {
		switch {
		case !block.Covers(e.Version):
			others = true
		case !slices.Contains(q.excluded, e.ID):
			q.excluded = append(q.excluded, e.ID)
		}
	}
	return others
}

// covers reports whether a target must not run a request.
func (p *Proxy) covers(block poison.Block, target string) bool {
	entry, ok := p.targets.Entry(target)
	return ok && block.Covers(entry.Version)
}

// refusePoison refuses a request that ends targets.
func (q *request) refusePoison() error { return q.refuseFor(reasonEndsTargets, poisonRetryAfter, nil) }

// poisonTarget returns an entry as package poison knows it.
func poisonTarget(e placement.Entry) poison.Target {
	return poison.Target{ID: e.ID, Born: e.Born, Version: e.Version}
}

// recordResponded records that a target has run a request and lives.
func (p *Proxy) recordResponded(q *request, choice *placement.Choice, s sendResult) {
	if s.result.NotRun() || s.response.info.NotRun {
		return
	}
	p.poison.Responded(q.fingerprint(), choice.Entry.Version, p.clock.Now())
}

// recordLost records that the connection of a request ended without a response, and finds out
// whether the target has ended.
func (p *Proxy) recordLost(ctx context.Context, q *request, choice *placement.Choice, s sendResult, sentAt time.Time) {
	if ctx.Err() != nil || s.result.NotRun() || !connectionEnded(s.err) {
		return
	}
	send := poison.Send{Fingerprint: q.fingerprint(), Target: poisonTarget(choice.Entry), Request: q.ID, SentAt: sentAt}
	now := p.clock.Now()
	p.poison.Lost(send, now)
	if p.ends.begin(choice.Entry.ID, now) {
		go p.probeEnd(choice.Entry)
	}
}

// connectionEnded reports whether a send failed because the target, or something on the way to
// it, ended the connection.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// probeEnd connects to a target of which a response was lost. One that has ended refuses that.
func (p *Proxy) probeEnd(entry placement.Entry) {
	ctx, cancel := context.WithTimeout(p.shutdownCtx, probeTimeout)
	defer cancel()
	conn, err := p.pool.Dial(ctx, "tcp", entry.Address)
	if err == nil {
		_ = conn.Close()
	}
	p.recordRefused(entry, err)
	p.ends.end(entry.ID, err == nil, p.clock.Now())
}

// recordRefused records that a target takes no connections, and that it has ended if it has
// refused one just after its responses were lost. Where all targets refuse, the path to them is lost instead.
func (p *Proxy) recordRefused(entry placement.Entry, err error) {
	now := p.clock.Now()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if err != nil && !p.reach.IsLost(entry.Service) {
		p.targets.ObserveNoConnection(entry.ID, refused, now)
	}
	if !refused || !p.poison.Awaits(entry.ID, now) || p.reach.IsLost(entry.Service) {
		return
	}
	for _, send := range p.poison.Ended(entry.ID, now) {
		klog.InfoS("Target has ended while it had a request", "target", entry.ID, "service", entry.Service, "version", entry.Version,
			"id", send.Request, "fingerprint", send.Fingerprint, "after", now.Sub(send.SentAt))
	}
}

// endProbes holds the targets that are being probed, and those that were found alive of late.
type endProbes struct {
	mu sync.Mutex
	// pausedUntil holds the time until which a target is not probed again, zero during a probe.
	pausedUntil map[string]time.Time
}

// begin reports whether a target is to be probed.
func (e *endProbes) begin(target string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until, ok := e.pausedUntil[target]; ok && (until.IsZero() || now.Before(until)) {
		return false
	}
	if e.pausedUntil == nil || len(e.pausedUntil) >= maxEndProbes {
		e.pausedUntil = make(map[string]time.Time)
	}
	e.pausedUntil[target] = time.Time{}
	return true
}

// end ends the probe of a target.
func (e *endProbes) end(target string, alive bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if alive {
		e.pausedUntil[target] = now.Add(endProbePause)
	} else {
		delete(e.pausedUntil, target)
	}
}
