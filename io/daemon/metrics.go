package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// nowFunc returns the current time of the daemon's clock.
type nowFunc func() time.Time

// metrics holds the Prometheus metrics of the daemon. Their names start with
// pineturn_.
type metrics struct {
	registry         *prometheus.Registry
	logReads         prometheus.Counter
	logFailures      prometheus.Counter
	logUp            prometheus.Gauge
	appends          prometheus.Counter
	appendFailures   prometheus.Counter
	appendBytes      prometheus.Counter
	foldedOps        *prometheus.CounterVec
	snapshots        prometheus.Counter
	snapshotFailures prometheus.Counter
	heartbeats       *prometheus.CounterVec
	orders           *prometheus.CounterVec
	releaseQueries   prometheus.Counter
	catchups         prometheus.Counter
	requests         *prometheus.CounterVec
	latency          *prometheus.HistogramVec
	peerRefused      prometheus.Counter
	diverged         prometheus.Gauge
	unreplicatedIDs  prometheus.Gauge
	peerOpened       *prometheus.CounterVec
	peerSilent       *prometheus.CounterVec
	peerFrames       *prometheus.CounterVec
	peerBytes        *prometheus.CounterVec
}

// newMetrics returns metrics that are registered in a new registry.
func newMetrics() *metrics {
	m := &metrics{
		registry:         prometheus.NewRegistry(),
		logReads:         counter("log_reads_total", "Reads that the log answered."),
		logFailures:      counter("log_failures_total", "Reads of the log that failed."),
		logUp:            gauge("log_up", "1 while the log service answers reads."),
		appends:          counter("log_appends_total", "Batches sent to the log, repeats included."),
		appendFailures:   counter("log_append_failures_total", "Appends that failed or whose answer was lost."),
		appendBytes:      counter("log_append_bytes_total", "Bytes of batches sent to the log."),
		foldedOps:        counters("folded_operations_total", "Operations folded, by kind and verdict.", "kind", "verdict"),
		snapshots:        counter("snapshots_total", "Snapshots written."),
		snapshotFailures: counter("snapshot_failures_total", "Snapshots that could not be written or were refused."),
		heartbeats:       counters("heartbeats_total", "Heartbeats sent, by result.", "result"),
		orders:           counters("orders_total", "Orders sent to targets, by kind and result.", "kind", "result"),
		releaseQueries:   counter("release_questions_total", "Questions about former owners sent to other hosts."),
		catchups:         counter("catchups_total", "Fetches of records or snapshots from other hosts."),
		requests:         counters("requests_total", "Callers' requests, by service, outcome and reason.", "service", "outcome", "reason"),
		peerRefused:      counter("peer_refused_total", "Connections of other hosts that were refused or broken off."),
		diverged:         gauge("state_diverged", "1 when this host's state differs from another host's digest; it then serves nothing."),
		unreplicatedIDs:  gauge("ids_alone", "Ids of requests that must not be repeated which only this host remembers."),
		peerOpened:       counters("peer_connections_total", "Connections between hosts that were opened.", "plane"),
		peerSilent:       counters("peer_silent_total", "Connections between hosts that went silent.", "plane"),
		peerFrames:       counters("peer_frames_total", "Frames between hosts.", "plane", "direction"),
		peerBytes:        counters("peer_bytes_total", "Bytes between hosts.", "plane", "direction"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "pineturn", Name: "request_seconds", Help: "Time from a caller's request to the head of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"service", "outcome"}),
	}
	m.registry.MustRegister(
		m.logReads, m.logFailures, m.logUp, m.appends, m.appendFailures, m.appendBytes, m.foldedOps, m.snapshots,
		m.snapshotFailures, m.heartbeats, m.orders, m.releaseQueries, m.catchups, m.requests, m.latency, m.peerRefused,
		m.diverged, m.unreplicatedIDs, m.peerOpened, m.peerSilent, m.peerFrames, m.peerBytes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pineturn", Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pineturn", Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "pineturn", Name: name, Help: help})
}
