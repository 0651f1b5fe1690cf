package load

import (
	"fmt"
	"io"
	"time"

	"pineturn/core/clock"
)

// Progress writes a line with the figures of the latest second of a run every
// progressInterval until it is closed.
type Progress struct {
	sink    *Sink
	clock   clock.Clock
	out     io.Writer
	stop    chan struct{}
	stopped chan struct{}
}

// NewProgress starts writing the progress of the run that records to sink to out.
func NewProgress(sink *Sink, clk clock.Clock, out io.Writer) *Progress {
	progress := &Progress{sink: sink, clock: clk, out: out, stop: make(chan struct{}), stopped: make(chan struct{})}
	go progress.run()
	return progress
}

// Close stops the progress lines and waits until the last one is written.
func (p *Progress) Close() {
	close(p.stop)
	<-p.stopped
}

func (p *Progress) run() {
	defer close(p.stopped)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.writeLine()
		case <-p.stop:
			return
		}
	}
}

func (p *Progress) writeLine() {
	window := p.sink.collector.LatestWindow(p.clock.Now())
	fmt.Fprintf(p.out, "%4ds sent %d/s done %d/s not run %d/s unknown %d/s, p50 %.1f ms p99 %.1f ms max %.1f ms\n",
		window.Second+1, window.Sent, window.Done, window.NotRun, window.Unknown, window.P50, window.P99, window.Max)
}
