package target

import (
	"encoding/json"
	"net/http"
	"time"
)

// The states of health that a target reports.
const (
	healthOK       = "ok"
	healthCold     = "cold"
	healthDraining = "draining"
	healthFailing  = "failing"
)

// Status is the target's answer to a probe or an order.
type Status struct {
	Incarnation string `json:"incarnation"`
	ClockUs     int64  `json:"clock_us"`
	Slots       int    `json:"slots"`
	Busy        int    `json:"busy"`
	Health      string `json:"health"`
	Set         uint64 `json:"set"`
}

// sample is the load and health from at on.
type sample struct {
	at     time.Duration
	busy   int
	health string
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
	t.lapse(now)
	status := t.status(now)
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// status returns what the target reports at now. Load and health are those
// of the lag before; the clock and the set are not.
func (t *Target) status(now time.Duration) Status {
	t.sample(now)
	shown := t.lagged(now)
	if t.report.Idle {
		shown.busy = 0
	}
	if t.report.Healthy {
		shown.health = healthOK
	}
	return Status{
		Incarnation: t.incarnation,
		ClockUs:     now.Microseconds(),
		Slots:       t.slots,
		Busy:        shown.busy,
		Health:      shown.health,
		Set:         t.grant.set,
	}
}

// sample notes the present load and health if they changed.
func (t *Target) sample(now time.Duration) {
	current := sample{at: now, busy: t.busy, health: t.health(now)}
	last := len(t.samples) - 1
	if last >= 0 && t.samples[last].busy == current.busy && t.samples[last].health == current.health {
		return
	}
	t.samples = append(t.samples, current)
}

// lagged returns the sample that the reported figures come from and drops
// older ones.
func (t *Target) lagged(now time.Duration) sample {
	for len(t.samples) > 1 && t.samples[1].at <= now-t.loadLag {
		t.samples = t.samples[1:]
	}
	return t.samples[0]
}

func (t *Target) health(now time.Duration) string {
	switch {
	case t.report.Failing:
		return healthFailing
	case t.draining:
		return healthDraining
	case now < t.coldStart:
		return healthCold
	}
	return healthOK
}

// writeJSON answers with status and the JSON form of value.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
