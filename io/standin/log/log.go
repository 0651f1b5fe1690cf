// Package log is a stand-in for the platform's log service: append-only
// streams in memory, with limited retention and faults on command.
package log

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pineturn/core/clock"
)

// Service keeps the streams and answers the log protocol. It is an
// http.Handler. The lock mu guards everything below it; changed is closed and
// replaced whenever a record is appended, a fault is set or Close is called.
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

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends every waiting read and every request held by a fault. A closed
// service still answers.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	s.wake()
}

// wake tells all waiting reads to look again. The caller holds mu.
func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// stream returns the named stream, trimmed to the retention, and creates it
// on first use. The caller holds mu.
func (s *Service) stream(name string) *stream {
	found, ok := s.streams[name]
	if !ok {
		found = &stream{}
		s.streams[name] = found
	}
	found.expire(s.clock.Now(), s.retain, s.retainRecords)
	return found
}

// writeJSON answers with status and the JSON form of value.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// failure is the body of an error answer.
type failure struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, failure{Error: text})
}
