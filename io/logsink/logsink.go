// Package logsink writes log lines to a slow output without blocking the
// goroutines that log, and limits the rate of log lines.
package logsink

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the number of lines that can be queued for the output.
	maxQueuedLines = 512
)

// Sink is an io.Writer that queues lines and writes them in the background.
// Lines written while the queue is full are dropped and counted.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a sink that writes to out until Close is called.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of a line. It never blocks and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	copied := make([]byte, len(line))
	copy(copied, line)
	select {
	case s.lines <- copied:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the sink was created.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// closeTimeout limits how long Close waits for a slow output.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, for at most closeTimeout, and stops the sink.
// Lines written after Close are lost.
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
		// The error is ignored: it could only be logged to the same output.
		_, _ = s.out.Write(line)
	}
}

// RateLimiter limits the log lines per second for one kind of event.
type RateLimiter struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

// NewRateLimiter returns a limiter that allows perSecond lines per second, in
// bursts of at most perSecond lines.
func NewRateLimiter(perSecond int) *RateLimiter {
	return &RateLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// Allow reports whether a line may be written. If not, the line is counted as
// dropped.
func (l *RateLimiter) Allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
}

// Dropped returns the number of lines that were not allowed.
func (l *RateLimiter) Dropped() int64 { return l.dropped.Load() }
