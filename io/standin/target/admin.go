package target

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"pineturn/core/audit"
)

// ReportOverride is the body of POST /admin/report. It makes the target report
// a status that differs from its actual one.
type ReportOverride struct {
	// Idle makes the target report no requests in flight, whatever its load is.
	Idle bool `json:"idle"`
	// Healthy makes the target report health ok, whatever its health is.
	Healthy bool `json:"healthy"`
	// Failing sets the actual health to failing.
	Failing bool `json:"failing"`
}

// drainRequest is the body of POST /admin/drain. An absent On means true.
type drainRequest struct {
	On *bool `json:"on"`
}

// shedRequest is the body of POST /admin/shed. The target sheds new requests
// for Ms milliseconds.
type shedRequest struct {
	Ms int64 `json:"ms"`
}

// State is the response body of GET /admin/state.
type State struct {
	Status   Status         `json:"status"`
	Checked  bool           `json:"checked"`
	InFlight int            `json:"busy"`
	Waiting  int            `json:"waiting"`
	Grant    audit.Grant    `json:"grant"`
	Counts   Counts         `json:"counts"`
	Report   ReportOverride `json:"report"`
	ShedLeft time.Duration  `json:"shed_left_ns"`
}

// decode decodes an optional JSON body into value. If the body is invalid, it
// responds with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(r.Body).Decode(value)
	if err == nil || errors.Is(err, io.EOF) {
		return true
	}
	http.Error(w, "decode order: "+err.Error(), http.StatusBadRequest)
	return false
}

func (t *Target) serveDrain(w http.ResponseWriter, r *http.Request) {
	var body drainRequest
	if !decode(w, r, &body) {
		return
	}
	t.Drain(body.On == nil || *body.On)
	w.WriteHeader(http.StatusNoContent)
}

// Drain begins a drain of the target if on is true, and withdraws the drain if on
// is false. Drain does nothing if the target is already in that state.
func (t *Target) Drain(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining == on {
		return
	}
	now := t.now()
	t.draining, t.drainStart = on, now
	kind := audit.DrainWithdrawn
	if on {
		kind = audit.DrainBegan
	}
	t.record(entryOfKind(kind), now)
	t.recordSample(now)
}

func (t *Target) serveShed(w http.ResponseWriter, r *http.Request) {
	var body shedRequest
	if !decode(w, r, &body) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedUntil = t.now() + time.Duration(body.Ms)*time.Millisecond
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveReport(w http.ResponseWriter, r *http.Request) {
	var body ReportOverride
	if !decode(w, r, &body) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeOverride = body
	t.recordSample(t.now())
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveState(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expireGrant(now)
	writeJSON(w, http.StatusOK, State{
		Status:   t.status(now),
		Checked:  t.checked,
		InFlight: t.inFlight,
		Waiting:  len(t.waiters),
		Grant:    t.grant.entry(),
		Counts:   t.counts,
		Report:   t.activeOverride,
		ShedLeft: max(0, t.shedUntil-now),
	})
}
