// Package target is a stand-in for a server that owns keys by fenced grants.
// It speaks the whole target protocol, runs a small deterministic application
// and writes an audit of every grant and request.
package target

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"pineturn/core/shard"
)

// Target is one incarnation of a target. It is an http.Handler. The lock mu
// guards everything below it, the order of audit lines included.
type Target struct {
	settings
	incarnation string
	start       time.Time
	mux         *http.ServeMux
	done        chan struct{}

	mu        sync.Mutex
	closed    bool
	highTerm  uint64
	grant     grant
	changed   chan struct{}
	busy      int
	waiting   []chan struct{}
	lastRun   uint64
	keys      map[string]*keyState
	draining  bool
	drainAt   time.Duration
	shedUntil time.Duration
	report    ReportOverride
	samples   []sample
	audited   auditLog
	counts    Counts
	running   map[*run]struct{}
	opened    int
}

// keyState is what the application holds in memory of one key. It is lost
// with the incarnation and when the key's shard is lost.
type keyState struct {
	shard shard.ID
	runs  uint64
}

// Counts are a target's counters.
type Counts struct {
	Grants        uint64            `json:"grants"`
	GrantsRefused map[string]uint64 `json:"grants_refused"`
	Runs          uint64            `json:"runs"`
	Completed     uint64            `json:"completed"`
	Refused       map[string]uint64 `json:"refused"`
	Probes        uint64            `json:"probes"`
	Connections   uint64            `json:"connections"`
	ConnsRefused  uint64            `json:"connections_refused"`
}

// New starts an incarnation of a target.
func New(options ...Option) *Target {
	t := &Target{
		settings:    defaults(),
		incarnation: newIncarnation(),
		start:       time.Now(),
		done:        make(chan struct{}),
		changed:     make(chan struct{}),
		keys:        map[string]*keyState{},
		running:     map[*run]struct{}{},
		counts:      Counts{GrantsRefused: map[string]uint64{}, Refused: map[string]uint64{}},
	}
	for _, option := range options {
		option(&t.settings)
	}
	t.report = t.reporting
	t.audited = auditLog{writer: t.audit}
	t.mux = http.NewServeMux()
	t.mux.HandleFunc("GET /pineturn/v1/clock", t.serveClock)
	t.mux.HandleFunc("PUT /pineturn/v1/grant", t.serveGrant)
	t.mux.HandleFunc("POST /admin/drain", t.serveDrain)
	t.mux.HandleFunc("POST /admin/shed", t.serveShed)
	t.mux.HandleFunc("POST /admin/report", t.serveReport)
	t.mux.HandleFunc("GET /admin/state", t.serveState)
	t.mux.HandleFunc("/", t.serveRequest)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(startedEntry, t.now())
	t.sample(t.now())
	return t
}

// ServeHTTP answers one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Incarnation names this run of the target.
func (t *Target) Incarnation() string { return t.incarnation }

// Close ends the incarnation: its grant and every running request with it.
// The caller stops serving first to let requests end by themselves.
func (t *Target) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	close(t.done)
	now := t.now()
	t.lapse(now)
	t.drop(now)
	t.record(stoppedEntry, now)
}

// now is the target's clock: the monotonic time since its start, in whole
// microseconds.
func (t *Target) now() time.Duration { return time.Since(t.start).Truncate(time.Microsecond) }

func newIncarnation() string {
	random := make([]byte, 6)
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}
