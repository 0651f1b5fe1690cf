// Package hostlist is a stand-in for the platform's list of live and leaving
// hosts. The list that it answers lags behind the one that was set.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"pineturn/core/clock"
)

// Host is one entry of the list.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// List is the body of the protocol's answer and of PUT /admin/hosts.
type List struct {
	Hosts []Host `json:"hosts"`
}

// version is a list that was set at some time.
type version struct {
	set   time.Time
	hosts []Host
}

// Service answers the host list protocol. It is an http.Handler. The lock mu
// guards everything below it.
type Service struct {
	clock clock.Clock
	mux   *http.ServeMux

	mu       sync.Mutex
	lag      time.Duration
	versions []version
	down     bool
}

// Option changes a setting of a Service.
type Option func(*Service)

// WithClock sets the clock by which the list lags; the system's by default.
func WithClock(clock clock.Clock) Option { return func(s *Service) { s.clock = clock } }

// WithLag sets how far the answered list is behind the one that was set.
func WithLag(lag time.Duration) Option { return func(s *Service) { s.lag = lag } }

// WithHosts sets the list that is answered from the start.
func WithHosts(hosts []Host) Option {
	return func(s *Service) { s.versions[0].hosts = hosts }
}

// New returns a host list; it is empty without WithHosts.
func New(options ...Option) *Service {
	s := &Service{clock: clock.System{}, versions: []version{{}}}
	for _, option := range options {
		option(s)
	}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET /v1/hosts", s.serveHosts)
	s.mux.HandleFunc("PUT /admin/hosts", s.serveSet)
	s.mux.HandleFunc("POST /admin/settings", s.serveSettings)
	s.mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return s
}

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close does nothing: the service owns no goroutines.
func (s *Service) Close() {}

// Set replaces the list; it is answered once the lag has passed.
func (s *Service) Set(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version{set: s.clock.Now(), hosts: hosts})
}

// Hosts returns the list as it is answered now.
func (s *Service) Hosts() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for len(s.versions) > 1 && now.Sub(s.versions[1].set) >= s.lag {
		s.versions = s.versions[1:]
	}
	if s.versions[0].hosts == nil {
		return []Host{}
	}
	return s.versions[0].hosts
}

func (s *Service) serveHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		http.Error(w, `{"error":"down"}`, http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(List{Hosts: s.Hosts()})
}

func (s *Service) serveSet(w http.ResponseWriter, r *http.Request) {
	var list List
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, `{"error":"decode hosts"}`, http.StatusBadRequest)
		return
	}
	s.Set(list.Hosts)
	w.WriteHeader(http.StatusNoContent)
}

// settings is the body of POST /admin/settings; absent fields stay.
type settings struct {
	LagMs *int64 `json:"lag_ms"`
	Down  *bool  `json:"down"`
}

func (s *Service) serveSettings(w http.ResponseWriter, r *http.Request) {
	var asked settings
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		http.Error(w, `{"error":"decode settings"}`, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if asked.LagMs != nil {
		s.lag = time.Duration(*asked.LagMs) * time.Millisecond
	}
	if asked.Down != nil {
		s.down = *asked.Down
	}
	w.WriteHeader(http.StatusNoContent)
}
