// Package target is a stand-in for a server that owns keys by grants with
// fencing tokens. It implements the complete target protocol, runs a small
// deterministic application and writes an audit of every grant and request.
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
// guards the fields below it and the order of the audit lines. The channel
// done is closed by Close; changed is closed and replaced when the grant
// changes. The times drainStart and shedUntil are by the target's clock.
type Target struct {
	settings
	incarnation string
	start       time.Time
	mux         *http.ServeMux
	done        chan struct{}

	mu             sync.Mutex
	closed         bool
	highestTerm    uint64
	grant          grant
	changed        chan struct{}
	inFlight       int
	waiters        []chan struct{}
	lastRunNumber  uint64
	keys           map[string]*keyState
	draining       bool
	drainStart     time.Duration
	shedUntil      time.Duration
	activeOverride ReportOverride
	samples        []sample
	auditOut       auditLog
	counts         Counts
	running        map[*run]struct{}
	openConns      int
}

// keyState is the application's in-memory state of one key. It ends with the
// incarnation, or when the target loses the key's shard.
type keyState struct {
	shard shard.ID
	runs  uint64
}

// Counts are the counters of a target since its start. GrantsRefused and
// Refused count refused orders and requests by reason.
type Counts struct {
	Grants             uint64            `json:"grants"`
	GrantsRefused      map[string]uint64 `json:"grants_refused"`
	Runs               uint64            `json:"runs"`
	Completed          uint64            `json:"completed"`
	Refused            map[string]uint64 `json:"refused"`
	Probes             uint64            `json:"probes"`
	Connections        uint64            `json:"connections"`
	ConnectionsRefused uint64            `json:"connections_refused"`
}

// New returns a started incarnation of a target.
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
	t.activeOverride = t.override
	t.auditOut = auditLog{writer: t.audit}
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
	t.recordSample(t.now())
	return t
}

// ServeHTTP serves one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Incarnation returns the random name of this run of the target.
func (t *Target) Incarnation() string { return t.incarnation }

// Close ends the incarnation, its grant and its running requests. To let
// running requests complete, shut the HTTP server down before Close.
func (t *Target) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	close(t.done)
	now := t.now()
	t.expireGrant(now)
	t.dropGrant(now)
	t.record(stoppedEntry, now)
}

// now returns the target's clock: the monotonic time since its start, truncated
// to microseconds.
func (t *Target) now() time.Duration { return time.Since(t.start).Truncate(time.Microsecond) }

func newIncarnation() string {
	random := make([]byte, 6)
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}
