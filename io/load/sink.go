package load

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/report"
)

// Sink writes each attempt to the record file and adds it to the collector.
// It is safe for concurrent use.
type Sink struct {
	collector *report.Collector
	started   time.Time

	mu     sync.Mutex
	buffer *bufio.Writer
	err    error
}

// NewSink returns a sink for a run that started at started. It writes attempts as
// lines of JSON to record, which may be io.Discard.
func NewSink(info report.Info, started time.Time, record io.Writer) *Sink {
	info.Started = started.UnixNano()
	return &Sink{
		collector: report.NewCollector(info), started: started, buffer: bufio.NewWriter(record),
	}
}

// Collector returns the collector to which attempts are added.
func (s *Sink) Collector() *report.Collector { return s.collector }

// Add records one attempt. A write error is returned by Flush.
func (s *Sink) Add(attempt report.Attempt) {
	s.collector.Add(attempt)
	line, err := json.Marshal(attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		_, err = s.buffer.Write(append(line, '\n'))
	}
	if s.err == nil {
		s.err = err
	}
}

// Flush writes the buffered attempts and returns the first error of any write.
func (s *Sink) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.buffer.Flush(); s.err == nil {
		s.err = err
	}
	return errors.Wrap(s.err, "write record")
}

// unixNano returns at in nanoseconds since the Unix epoch. It is computed from the
// start time of the run and the monotonic clock, so steps of the wall clock during
// the run do not affect it.
func (s *Sink) unixNano(at time.Time) int64 {
	return s.started.UnixNano() + int64(at.Sub(s.started))
}
