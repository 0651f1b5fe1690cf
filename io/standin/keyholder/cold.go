package keyholder

import (
	"net/http"
	"strconv"
	"time"
)

// HealthPath is the path of the target's health checks.
const HealthPath = "/health"

// SetCold makes the target cold for some time from now on.
func (t *Target) SetCold(left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldFrom = time.Now()
	t.coldUntil = t.coldFrom.Add(left)
}

// SetColdRate sets the number of requests that the target bears in any one second while it is
// cold; 0 for any number.
func (t *Target) SetColdRate(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.options.ColdRate = n
}

// Address returns the address of the target.
func (t *Target) Address() string { return t.options.Address }

func (t *Target) coldLeft() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(time.Until(t.coldUntil), 0)
}

// Crashed reports whether the target has got more requests than it bears while it was cold. It
// closes all connections since.
func (t *Target) Crashed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashed
}

// crash reports whether the target has crashed, by the requests of the last second.
func (t *Target) crash() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.options.ColdRate == 0 || t.crashed || !now.Before(t.coldUntil) {
		return t.crashed
	}
	n := 0
	for i := len(t.arrivals) - 1; i >= 0 && now.Sub(t.arrivals[i].At) < time.Second && t.arrivals[i].At.After(t.coldFrom); i-- {
		n++
	}
	t.crashed = n > t.options.ColdRate
	return t.crashed
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", t.options.ID)
	w.Header().Set("X-Warmup-Ms", strconv.FormatInt(t.coldLeft().Milliseconds(), 10))
}
