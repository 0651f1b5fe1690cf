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

// Fault is how the store misbehaves.
type Fault struct {
	// Mode is empty, or one of busy (503), many (429), reset and silent.
	Mode string `json:"mode,omitempty"`
	// Hosts are the callers that it concerns; none stands for all.
	Hosts []string `json:"hosts,omitempty"`
	// Delay is how much later an answer comes.
	Delay time.Duration `json:"delay,omitempty"`
	// Lost is the part of appends that are done and not answered, Late the part
	// that is also done only LateBy later.
	Lost   float64       `json:"lost,omitempty"`
	Late   float64       `json:"late,omitempty"`
	LateBy time.Duration `json:"late_by,omitempty"`
}

// SetFault has the store misbehave from now on.
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

func (s *Store) faultOf(r *http.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	if len(s.fault.Hosts) > 0 && !slices.Contains(s.fault.Hosts, hostOf(r)) {
		return Fault{}
	}
	return s.fault
}

func (s *Store) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faultOf(r)
		time.Sleep(f.Delay)
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
			s.perhapsLost(f, next, w, r)
		}
	}
}

func (s *Store) perhapsLost(f Fault, next http.HandlerFunc, w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || rand.Float64() >= f.Lost {
		next(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCall))
	if err != nil {
		return
	}
	again := r.Clone(r.Context())
	again.Body = io.NopCloser(bytes.NewReader(body))
	if rand.Float64() < f.Late {
		time.AfterFunc(f.LateBy, func() { next(discard{}, again) })
	} else {
		next(discard{}, again)
	}
	<-r.Context().Done()
}

// discard takes an answer that nobody gets.
type discard struct{}

// Header returns headers that are not sent.
func (discard) Header() http.Header { return http.Header{} }

// Write drops the bytes.
func (discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader drops the status.
func (discard) WriteHeader(int) {}
