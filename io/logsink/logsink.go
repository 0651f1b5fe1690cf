// Package logsink writes log lines to a slow output without ever making their
// writers wait, and bounds how many lines a second there are.
package logsink

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that may wait for the output.
	queueLines = 512
)

// Sink is a writer that queues lines. Lines that find the queue full are
// dropped and counted.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a sink that writes to an output until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	kept := make([]byte, len(line))
	copy(kept, line)
	select {
	case s.lines <- kept:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// closeTimeout bounds the time that Close waits for a slow output.
const closeTimeout = 200 * time.Millisecond

// Close writes what waits and ends the sink. Lines written later are lost.
func (s *Sink) Close() {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case s.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		if line == nil {
			return
		}
		// A failure to write a log line has nowhere to be logged.
		_, _ = s.out.Write(line)
	}
}

// RateLimiter are the lines a second that a kind of event may have.
type RateLimiter struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

// NewRateLimiter returns limits of lines a second, with a burst of as many.
func NewRateLimiter(perSecond int) *RateLimiter {
	return &RateLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// Allow reports whether a line may be written, and counts it otherwise.
func (l *RateLimiter) Allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
}

// Dropped returns how many lines were not allowed.
func (l *RateLimiter) Dropped() int64 { return l.dropped.Load() }
