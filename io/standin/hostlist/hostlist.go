// Package hostlist is a stand-in for the platform's list of live and leaving
// hosts. A change of the list is visible after a configurable lag.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"pineturn/core/clock"
)

// Host is one entry of the list. Address is the IP:PORT for other hosts, Domain the
// failure domain. State is live or leaving.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// List is the response body of GET /v1/hosts and the body of PUT /admin/hosts.
type List struct {
	Hosts []Host `json:"hosts"`
}

// version is a list and the time at which it was set, before the lag.
type version struct {
	setAt time.Time
	hosts []Host
}

// Service implements the host list protocol. It is an http.Handler. The lock mu
// guards the fields below it.
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

// WithClock sets the clock for the lag. The default is the system's.
func WithClock(clock clock.Clock) Option { return func(s *Service) { s.clock = clock } }

// WithLag sets the time after which a change of the list becomes visible.
func WithLag(lag time.Duration) Option { return func(s *Service) { s.lag = lag } }

// WithHosts sets the list at the start, which is visible at once.
func WithHosts(hosts []Host) Option {
	return func(s *Service) { s.versions[0].hosts = hosts }
}

// New returns a host list, which is empty without WithHosts.
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

// ServeHTTP serves one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close does nothing, since the service has no goroutines.
func (s *Service) Close() {}

// Set replaces the list. The new list becomes visible after the lag.
func (s *Service) Set(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version{setAt: s.clock.Now(), hosts: hosts})
}

// Hosts returns the list that is visible now.
func (s *Service) Hosts() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for len(s.versions) > 1 && now.Sub(s.versions[1].setAt) >= s.lag {
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

// settings is the body of POST /admin/settings. Absent fields leave their setting
// unchanged.
type settings struct {
	LagMs *int64 `json:"lag_ms"`
	Down  *bool  `json:"down"`
}

func (s *Service) serveSettings(w http.ResponseWriter, r *http.Request) {
	var body settings
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, `{"error":"decode settings"}`, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if body.LagMs != nil {
		s.lag = time.Duration(*body.LagMs) * time.Millisecond
	}
	if body.Down != nil {
		s.down = *body.Down
	}
	w.WriteHeader(http.StatusNoContent)
}
