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

// Sink writes each attempt to the record file and gives it to the collector.
// It is safe for concurrent use.
type Sink struct {
	collector *report.Collector
	started   time.Time

	mu     sync.Mutex
	buffer *bufio.Writer
	err    error
}

// NewSink returns a sink for a run that began at started; record may be
// io.Discard.
func NewSink(info report.Info, started time.Time, record io.Writer) *Sink {
	info.Started = started.UnixNano()
	return &Sink{
		collector: report.NewCollector(info), started: started, buffer: bufio.NewWriter(record),
	}
}

// Collector returns the collector that the attempts go to.
func (s *Sink) Collector() *report.Collector { return s.collector }

// Add takes one attempt.
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

// Flush writes what is buffered and returns the first error of any write.
func (s *Sink) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.buffer.Flush(); s.err == nil {
		s.err = err
	}
	return errors.Wrap(s.err, "write record")
}

// stamp converts a reading of the monotonic clock to nanoseconds since the
// Unix epoch; steps of the wall clock during the run don't show.
func (s *Sink) stamp(at time.Time) int64 {
	return s.started.UnixNano() + int64(at.Sub(s.started))
}
