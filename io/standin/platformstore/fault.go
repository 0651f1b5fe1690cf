package platformstore

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// Fault is a fault that the store injects. The zero value injects none.
type Fault struct {
	// Mode is the effect on every request: busy (status 503), many (status
	// 429), reset (closes the connection without a response) or silent (never
	// responds). Empty serves the request.
	Mode string `json:"mode,omitempty"`
	// Hosts are the IP addresses of the hosts affected; empty affects all.
	Hosts []string `json:"hosts,omitempty"`
	// Delay is the time added before each request is processed, in nanoseconds
	// in JSON.
	Delay time.Duration `json:"delay,omitempty"`
	// Lost is the fraction of POST requests, 0 to 1, that are processed and get
	// no response. Late is the fraction of the lost ones, 0 to 1, that are
	// processed only after LateBy, which is in nanoseconds in JSON.
	Lost   float64       `json:"lost,omitempty"`
	Late   float64       `json:"late,omitempty"`
	LateBy time.Duration `json:"late_by,omitempty"`
}

// SetFault replaces the injected fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Store) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

// activeFault counts the request and returns the fault that applies to its host. While
// the store is away, that applies to all hosts.
func (s *Store) activeFault(r *http.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestCounts[r.URL.Path]++
	if s.awayMode != "" {
		return Fault{Mode: s.awayMode}
	}
	if len(s.fault.Hosts) > 0 && !slices.Contains(s.fault.Hosts, callerIP(r)) {
		return Fault{}
	}
	return s.fault
}

// injectFault wraps a handler with the store's current fault.
func (s *Store) injectFault(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.activeFault(r)
		time.Sleep(f.Delay)
		s.mu.Lock()
		s.stateEra(w)
		s.mu.Unlock()
		switch f.Mode {
		case "busy":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "many":
			w.WriteHeader(http.StatusTooManyRequests)
		case "reset":
			panic(http.ErrAbortHandler)
		case "silent":
			<-r.Context().Done()
		default:
			s.dropResponse(f, next, w, r)
		}
	}
}

// dropResponse processes a fraction f.Lost of POST requests without responding,
// and passes all other requests to next.
func (s *Store) dropResponse(f Fault, next http.HandlerFunc, w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || rand.Float64() >= f.Lost {
		next(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	clone := r.Clone(r.Context())
	clone.Body = io.NopCloser(bytes.NewReader(body))
	if rand.Float64() < f.Late {
		time.AfterFunc(f.LateBy, func() { next(discardWriter{}, clone) })
	} else {
		next(discardWriter{}, clone)
	}
	<-r.Context().Done()
}

// discardWriter discards a response.
type discardWriter struct{}

// Header returns a new header map that is discarded.
func (discardWriter) Header() http.Header { return http.Header{} }

// Write discards data.
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader discards the status code.
func (discardWriter) WriteHeader(int) {}
