package gateway

import (
	"os"
	"regexp"
	"testing"

	"pineturn/core/owner"
)

// TestPageMetrics checks that all metrics named in docs/PLATFORM.md exist.
func TestPageMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/PLATFORM.md")
	if err != nil {
		t.Fatal(err)
	}
	h := newTestCluster(t).addHost("host-1")
	h.gateway.metrics.observeStoreCall("/v1/log-read", 0, nil)
	h.gateway.metrics.requests.WithLabelValues("s", "200", "answered").Inc()
	h.gateway.metrics.relays.WithLabelValues("out", "s", "answered").Inc()
	h.gateway.metrics.lostRelays.WithLabelValues("s").Inc()
	h.gateway.metrics.suspectedSends.WithLabelValues("s", "answered").Inc()
	h.gateway.metrics.keptAttempts.WithLabelValues("s", "granted").Inc()
	h.gateway.metrics.queueWaits.WithLabelValues("s").Observe(0)
	h.gateway.metrics.observeRetry("s", true)
	h.gateway.metrics.observeMoves("s", owner.Moves{})
	families, err := h.gateway.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	exists := make(map[string]bool)
	for _, family := range families {
		exists[family.GetName()] = true
	}
	named := regexp.MustCompile("`(pineturn_[a-z_]+)`").FindAllSubmatch(page, -1)
	if len(named) == 0 {
		t.Error("metrics on the page: got none, want some")
	}
	for _, name := range named {
		if !exists[string(name[1])] {
			t.Errorf("%s: named on the page, want it among the metrics too", name[1])
		}
	}
}
