// Package log is a stand-in for the platform's log service. It keeps append-only
// streams in memory, with optional retention limits, and simulates faults that
// are set through its API.
package log

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pineturn/core/clock"
)

// Service implements the log protocol. It is an http.Handler. The lock mu guards
// the fields below it; changed is closed and replaced whenever a record is
// appended, a fault is set or Close is called.
type Service struct {
	clock         clock.Clock
	retain        time.Duration
	retainRecords int
	limiter       *rate.Limiter
	mux           *http.ServeMux
	done          chan struct{}

	mu      sync.Mutex
	streams map[string]*stream
	fault   Fault
	changed chan struct{}
	closed  bool
}

// New returns an empty log service.
func New(options ...Option) *Service {
	s := &Service{
		clock:   clock.System{},
		done:    make(chan struct{}),
		streams: map[string]*stream{},
		fault:   Fault{Mode: Up},
		changed: make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /v1/streams/{stream}/records", s.serveAppend)
	s.mux.HandleFunc("GET /v1/streams/{stream}/records", s.serveRead)
	s.mux.HandleFunc("POST /admin/faults", s.serveFaults)
	s.mux.HandleFunc("POST /admin/trim", s.serveTrim)
	s.mux.HandleFunc("GET /admin/stats", s.serveStats)
	s.mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return s
}

// ServeHTTP serves one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends every waiting read and every request that a fault delays. The
// service still serves requests after Close.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	s.notifyWaiters()
}

// notifyWaiters wakes all waiting reads. The caller holds mu.
func (s *Service) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// stream returns the named stream after dropping its expired records. It creates
// the stream on first use. The caller holds mu.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{}
		s.streams[name] = st
	}
	st.expire(s.clock.Now(), s.retain, s.retainRecords)
	return st
}

// writeJSON writes a response with the given status and value encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// errorResponse is the body of a response that reports an error.
type errorResponse struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, errorResponse{Error: text})
}
