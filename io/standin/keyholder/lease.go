package keyholder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// lease is the target's own record of its lease on a key, which is valid before
// until. A released lease is kept
// with held false, because its fencing token remains the lower bound for the
// next grant.
type lease struct {
	fencingToken int64
	until        time.Time
	held         bool
}

// leaseRequest is the body of a grant or release of the keys From to To,
// inclusive. HoldS is the lease duration in seconds.
type leaseRequest struct {
	From         int     `json:"from"`
	To           int     `json:"to"`
	FencingToken int64   `json:"fence"`
	HoldS        float64 `json:"hold_s"`
}

// decode reads a grant or release. On failure it responds to the request and
// returns false.
func (t *Target) decode(w http.ResponseWriter, r *http.Request) (leaseRequest, bool) {
	var req leaseRequest
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.options.ID {
		w.Header().Set("X-Instance-Id", t.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return req, false
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.From > req.To {
		w.WriteHeader(http.StatusBadRequest)
		return req, false
	}
	return req, true
}

func (t *Target) serveGrant(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	req, ok := t.decode(w, r)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := req.From; key <= req.To; key++ {
		if l := t.leases[key]; l != nil && l.fencingToken > req.FencingToken {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := now.Add(time.Duration(req.HoldS * float64(time.Second)))
	t.audit.recordGrant(t.options.ID, req, now, until)
	for key := req.From; key <= req.To; key++ {
		t.leases[key] = &lease{fencingToken: req.FencingToken, until: until, held: true}
	}
}

func (t *Target) serveRelease(w http.ResponseWriter, r *http.Request) {
	req, ok := t.decode(w, r)
	if !ok {
		return
	}
	t.mu.Lock()
	for key := req.From; key <= req.To; key++ {
		if l := t.leases[key]; l != nil && l.fencingToken <= req.FencingToken {
			l.held = false
		}
	}
	t.mu.Unlock()
	for t.hasRunning(req) && r.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	t.audit.recordRelease(t.options.ID, req)
	w.Header().Set("X-Handover", "handover")
}

// hasRunning reports whether a request for one of the keys runs.
func (t *Target) hasRunning(req leaseRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, n := range t.runningByKey {
		if n > 0 && key >= req.From && key <= req.To {
			return true
		}
	}
	return false
}

// startRun records a run of the request in the audit. It returns false and
// records nothing if the target is keyed and holds no unexpired lease on the
// request's key.
func (t *Target) startRun(r *http.Request, body string) bool {
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if err != nil {
		key = -1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if l := t.leases[key]; t.options.Keyed && (l == nil || !l.held || !now.Before(l.until)) {
		return false
	}
	t.runningByKey[key]++
	t.audit.recordRun(Run{
		ID: r.Header.Get("X-Request-Id"), Target: t.options.ID, Method: r.Method, Path: r.RequestURI, Body: body, Key: key, At: now,
	})
	return true
}
