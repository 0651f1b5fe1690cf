package target

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"pineturn/core/audit"
)

// Report is how the target misreports itself, the body of POST /admin/report.
type Report struct {
	// Idle reports no load, Healthy reports good health, whatever is true.
	Idle    bool `json:"idle"`
	Healthy bool `json:"healthy"`
	// Failing makes the target's true health failing.
	Failing bool `json:"failing"`
}

// drainOrder is the body of POST /admin/drain; empty means true.
type drainOrder struct {
	On *bool `json:"on"`
}

// shedOrder is the body of POST /admin/shed.
type shedOrder struct {
	Ms int64 `json:"ms"`
}

// State is the dump of a target.
type State struct {
	Status  Status        `json:"status"`
	Checked bool          `json:"checked"`
	Busy    int           `json:"busy"`
	Waiting int           `json:"waiting"`
	Grant   audit.Grant   `json:"grant"`
	Counts  Counts        `json:"counts"`
	Report  Report        `json:"report"`
	Shed    time.Duration `json:"shed_left_ns"`
}

// decode reads an optional JSON body into value and answers bad ones.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(r.Body).Decode(value)
	if err == nil || errors.Is(err, io.EOF) {
		return true
	}
	http.Error(w, "decode order: "+err.Error(), http.StatusBadRequest)
	return false
}

func (t *Target) serveDrain(w http.ResponseWriter, r *http.Request) {
	var asked drainOrder
	if !decode(w, r, &asked) {
		return
	}
	t.Drain(asked.On == nil || *asked.On)
	w.WriteHeader(http.StatusNoContent)
}

// Drain marks the target as leaving, or takes the mark back.
func (t *Target) Drain(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining == on {
		return
	}
	now := t.now()
	t.draining, t.drainAt = on, now
	kind := audit.DrainWithdrawn
	if on {
		kind = audit.DrainBegan
	}
	t.record(kindEntry(kind), now)
	t.sample(now)
}

func (t *Target) serveShed(w http.ResponseWriter, r *http.Request) {
	var asked shedOrder
	if !decode(w, r, &asked) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedUntil = t.now() + time.Duration(asked.Ms)*time.Millisecond
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveReport(w http.ResponseWriter, r *http.Request) {
	var asked Report
	if !decode(w, r, &asked) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report = asked
	t.sample(t.now())
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveState(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.lapse(now)
	writeJSON(w, http.StatusOK, State{
		Status:  t.status(now),
		Checked: t.checked,
		Busy:    t.busy,
		Waiting: len(t.waiting),
		Grant:   t.grant.entry(),
		Counts:  t.counts,
		Report:  t.report,
		Shed:    max(0, t.shedUntil-now),
	})
}
