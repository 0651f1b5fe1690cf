package log

import (
	"net/http"
	"time"
)

// Mode is the behaviour of the service.
type Mode string

// The modes of the service.
const (
	// Up serves all requests.
	Up Mode = "up"
	// Down responds with 503 and does nothing.
	Down Mode = "down"
	// Slow delays each request before serving it.
	Slow Mode = "slow"
	// LoseResponses lets appends take effect and then closes the connection
	// without a response.
	LoseResponses Mode = "lose-answers"
	// Hang does nothing and never responds.
	Hang Mode = "hang"
)

// operation is a kind of request to which a fault may be limited.
type operation string

const (
	operationAppend operation = "append"
	operationRead   operation = "read"
)

// Fault is the body of POST /admin/faults. DelayMs is the delay of mode slow, in
// milliseconds. A fault with a positive Count ends after it has affected that
// many requests. A fault with Only affects only appends or only reads.
type Fault struct {
	Mode    Mode      `json:"mode"`
	DelayMs int64     `json:"delay_ms,omitempty"`
	Count   int       `json:"count,omitempty"`
	Only    operation `json:"only,omitempty"`
}

// valid reports whether the fields of the fault have valid values.
func (f Fault) valid() bool {
	switch f.Mode {
	case Up, Down, Slow, LoseResponses, Hang:
	default:
		return false
	}
	return (f.Only == "" || f.Only == operationAppend || f.Only == operationRead) && f.DelayMs >= 0 && f.Count >= 0
}

// affects reports whether the fault applies to an operation.
func (f Fault) affects(op operation) bool {
	if f.Mode == LoseResponses && op != operationAppend {
		return false
	}
	return f.Only == "" || f.Only == op
}

// SetFault replaces the current fault.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.notifyWaiters()
}

// consumeFault returns the fault that affects one request, and decrements its
// remaining count.
func (s *Service) consumeFault(op operation) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	if !fault.affects(op) {
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

// applyFault applies the current fault to a request. It reports whether to serve
// the request, and whether to lose its response.
func (s *Service) applyFault(w http.ResponseWriter, r *http.Request, op operation) (loseResponse, ok bool) {
	fault := s.consumeFault(op)
	switch fault.Mode {
	case Down:
		writeError(w, http.StatusServiceUnavailable, "down")
		return false, false
	case Hang:
		s.delay(r, hangTimeout)
		panic(http.ErrAbortHandler)
	case Slow:
		return false, s.delay(r, time.Duration(fault.DelayMs)*time.Millisecond)
	}
	return fault.Mode == LoseResponses, true
}

// hangTimeout is longer than the timeout of any request.
const hangTimeout = 24 * time.Hour

// delay waits for d or until Close. It returns false if the caller cancelled the
// request before.
func (s *Service) delay(r *http.Request, d time.Duration) bool {
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
