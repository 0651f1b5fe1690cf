package load

import (
	"fmt"
	"io"
	"time"

	"pineturn/core/clock"
)

// Progress writes a line a second about a run until it is closed.
type Progress struct {
	sink  *Sink
	clock clock.Clock
	out   io.Writer
	done  chan struct{}
	ended chan struct{}
}

// NewProgress starts to report on the run whose attempts sink receives.
func NewProgress(sink *Sink, clk clock.Clock, out io.Writer) *Progress {
	progress := &Progress{sink: sink, clock: clk, out: out, done: make(chan struct{}), ended: make(chan struct{})}
	go progress.run()
	return progress
}

// Close ends the reporting and waits for it.
func (p *Progress) Close() {
	close(p.done)
	<-p.ended
}

func (p *Progress) run() {
	defer close(p.ended)
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.line()
		case <-p.done:
			return
		}
	}
}

func (p *Progress) line() {
	window := p.sink.collector.LatestWindow(p.clock.Now())
	fmt.Fprintf(p.out, "%4ds sent %d/s done %d/s not run %d/s unknown %d/s, p50 %.1f ms p99 %.1f ms max %.1f ms\n",
		window.Second+1, window.Sent, window.Done, window.NotRun, window.Unknown, window.P50, window.P99, window.Max)
}
