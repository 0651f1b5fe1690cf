package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"pineturn/io/entry"
)

// metrics are the process's counters and latencies.
type metrics struct{}

func newMetrics() *metrics { return &metrics{} }

func (m *metrics) storeCall(string, time.Duration, error) {}

// ended logs what became of a request that was not simply answered.
func (g *Gateway) ended(t entry.Trace) {
	if t.Cause == nil && t.Status < 400 {
		return
	}
	klog.InfoS("Request ended", "id", t.ID, "service", t.Service, "route", t.Route, "version", t.Version,
		"keyed", t.Keyed, "key", t.Key, "target", t.Target, "sends", t.Sends, "status", t.Status,
		"reason", t.Reason, "took", t.Took, "err", t.Cause)
}
