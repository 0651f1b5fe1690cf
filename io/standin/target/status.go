package target

import (
	"encoding/json"
	"net/http"
	"time"
)

// The values of Status.Health.
const (
	healthOK       = "ok"
	healthCold     = "cold"
	healthDraining = "draining"
	healthFailing  = "failing"
)

// Status is the target's response to a probe or an order. ClockUs is the
// target's clock in microseconds.
type Status struct {
	Incarnation string `json:"incarnation"`
	ClockUs     int64  `json:"clock_us"`
	Slots       int    `json:"slots"`
	InFlight    int    `json:"busy"`
	Health      string `json:"health"`
	SetVersion  uint64 `json:"set"`
}

// sample is the load and health of the target from the time at until the next
// sample, by the target's clock.
type sample struct {
	at       time.Duration
	inFlight int
	health   string
}

func (t *Target) serveClock(w http.ResponseWriter, r *http.Request) {
	if t.probeTime > 0 {
		timer := time.NewTimer(t.probeTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	t.mu.Lock()
	t.counts.Probes++
	now := t.now()
	t.expireGrant(now)
	status := t.status(now)
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// status returns the status that the target reports at now. Load and health
// are older by the load lag, the clock and the set are current.
func (t *Target) status(now time.Duration) Status {
	t.recordSample(now)
	reported := t.laggedSample(now)
	if t.activeOverride.Idle {
		reported.inFlight = 0
	}
	if t.activeOverride.Healthy {
		reported.health = healthOK
	}
	return Status{
		Incarnation: t.incarnation,
		ClockUs:     now.Microseconds(),
		Slots:       t.slots,
		InFlight:    reported.inFlight,
		Health:      reported.health,
		SetVersion:  t.grant.setVersion,
	}
}

// recordSample appends the current load and health to samples if they changed.
func (t *Target) recordSample(now time.Duration) {
	latest := sample{at: now, inFlight: t.inFlight, health: t.health(now)}
	last := len(t.samples) - 1
	if last >= 0 && t.samples[last].inFlight == latest.inFlight && t.samples[last].health == latest.health {
		return
	}
	t.samples = append(t.samples, latest)
}

// laggedSample returns the sample that was current one load lag before now, and
// drops older ones.
func (t *Target) laggedSample(now time.Duration) sample {
	for len(t.samples) > 1 && t.samples[1].at <= now-t.loadLag {
		t.samples = t.samples[1:]
	}
	return t.samples[0]
}

func (t *Target) health(now time.Duration) string {
	switch {
	case t.activeOverride.Failing:
		return healthFailing
	case t.draining:
		return healthDraining
	case now < t.coldStart:
		return healthCold
	}
	return healthOK
}

// writeJSON writes a response with the given status and value encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
