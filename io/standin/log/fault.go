package log

import (
	"net/http"
	"time"
)

// Mode is how the service behaves.
type Mode string

// The modes of the service.
const (
	// Up answers everything.
	Up Mode = "up"
	// Down answers 503 and does nothing.
	Down Mode = "down"
	// Slow waits before it does what is asked.
	Slow Mode = "slow"
	// LoseResponses lets appends take effect and then closes the connection
	// without an answer.
	LoseResponses Mode = "lose-answers"
	// Hang does nothing and never answers.
	Hang Mode = "hang"
)

// operation is a kind of request that a fault may be limited to.
type operation string

const (
	opAppend operation = "append"
	opRead   operation = "read"
)

// Fault is what POST /admin/faults sets. With Count over 0 it ends after that
// many requests were hit; with Only it hits just appends or reads.
type Fault struct {
	Mode    Mode      `json:"mode"`
	DelayMs int64     `json:"delay_ms,omitempty"`
	Count   int       `json:"count,omitempty"`
	Only    operation `json:"only,omitempty"`
}

// valid reports whether the fault's fields are known values.
func (f Fault) valid() bool {
	switch f.Mode {
	case Up, Down, Slow, LoseResponses, Hang:
	default:
		return false
	}
	return (f.Only == "" || f.Only == opAppend || f.Only == opRead) && f.DelayMs >= 0 && f.Count >= 0
}

// hits reports whether the fault applies to an operation.
func (f Fault) hits(op operation) bool {
	if f.Mode == LoseResponses && op != opAppend {
		return false
	}
	return f.Only == "" || f.Only == op
}

// SetFault changes how the service behaves from now on.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake()
}

// take returns the fault that hits one request, and counts it.
func (s *Service) take(op operation) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	if !fault.hits(op) {
		return Fault{Mode: Up}
	}
	if s.fault.Count > 0 {
		s.fault.Count--
		if s.fault.Count == 0 {
			s.fault = Fault{Mode: Up}
		}
	}
	return fault
}

// suffer applies the current fault to a request. It reports whether the
// request goes on, and whether its answer is to be lost.
func (s *Service) suffer(w http.ResponseWriter, r *http.Request, op operation) (lose, ok bool) {
	fault := s.take(op)
	switch fault.Mode {
	case Down:
		writeError(w, http.StatusServiceUnavailable, "down")
		return false, false
	case Hang:
		s.hold(r, maxHold)
		panic(http.ErrAbortHandler)
	case Slow:
		return false, s.hold(r, time.Duration(fault.DelayMs)*time.Millisecond)
	}
	return fault.Mode == LoseResponses, true
}

// maxHold is longer than any request waits.
const maxHold = 24 * time.Hour

// hold waits for d, and reports false when the caller gave up first.
func (s *Service) hold(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.done:
		return true
	case <-r.Context().Done():
		return false
	}
}
