package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"pineturn/io/logsink"
	"pineturn/io/proxy"
	"pineturn/platform"
)

const (
	// mostServices bounds the services that have metrics of their own.
	mostServices = 32
	// otherService stands for the rest.
	otherService = "other"
	// failureLines and successLines bound the lines a second on requests.
	failureLines = 40
	successLines = 2
)

// metrics are the process's counters and latencies. Names start with pineturn_.
type metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	storeCalls *prometheus.CounterVec
	storeTook  *prometheus.HistogramVec
	failures   *logsink.RateLimiter
	successes  *logsink.RateLimiter

	mu       sync.Mutex
	services map[string]bool
}

// latencyBounds are the bounds of the histograms in seconds.
var latencyBounds = []float64{0.01, 0.03, 0.1, 0.3, 0.6, 1.2, 2.5, 5}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pineturn_requests_total", Help: "Callers' requests, by service, status and reason.",
		}, []string{"service", "status", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pineturn_request_seconds", Help: "Time to the final answer, by service.", Buckets: latencyBounds,
		}, []string{"service"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pineturn_store_calls_total", Help: "Calls to the platform's store, by call and outcome.",
		}, []string{"call", "outcome"}),
		storeTook: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pineturn_store_seconds", Help: "Time of calls to the platform's store, waits included.", Buckets: latencyBounds,
		}, []string{"call"}),
		failures: logsink.NewRateLimiter(failureLines), successes: logsink.NewRateLimiter(successLines),
		services: make(map[string]bool),
	}
	m.registry.MustRegister(m.requests, m.latency, m.storeCalls, m.storeTook)
	return m
}

// observe registers the gauges that are read from the parts of a host.
func (m *metrics) observe(g *Gateway) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pineturn_" + name, Help: help}, value))
	}
	gauge("config_version", "Version of the configuration in force; 0 before the first.", func() float64 {
		if table := g.catalog.Table(); table != nil {
			return float64(table.Config().Version)
		}
		return 0
	})
	gauge("targets", "Targets known.", func() float64 { return float64(len(g.targets.Entries(""))) })
	gauge("leading", "1 while this host leads.", func() float64 {
		if g.coordinator.Leading() {
			return 1
		}
		return 0
	})
	gauge("owners_epoch", "Epoch of the assignment of keys as last read.", func() float64 {
		if a := g.catalog.Assignment(); a != nil {
			return float64(a.Epoch)
		}
		return 0
	})
	gauge("keys_moving", "Ranges of keys on their way to another owner.", func() float64 { return float64(g.moving()) })
	for _, mark := range []string{platform.TopicConfig, platform.TopicTargets, platform.TopicOwners} {
		gauge("age_seconds_"+ageNames[mark], "Age of the last proof that nothing newer was missed.", func() float64 {
			return g.catalog.Age(mark).Seconds()
		})
	}
	gauge("log_lines_dropped", "Log lines dropped to bound their number.", func() float64 {
		return float64(m.failures.Dropped() + m.successes.Dropped() + g.logs.Dropped())
	})
}

// ageNames are the names of topics in metrics and dumps.
var ageNames = map[string]string{
	platform.TopicConfig: "configuration", platform.TopicTargets: "targets", platform.TopicOwners: "owners",
}

// handler serves the metrics as text.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) storeCall(path string, took time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	call := platform.CallName(path)
	m.storeCalls.WithLabelValues(call, outcome).Inc()
	m.storeTook.WithLabelValues(call).Observe(took.Seconds())
}

// service bounds the label of a service: names come from the operator.
func (m *metrics) service(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.services[name] && len(m.services) >= mostServices {
		return otherService
	}
	m.services[name] = true
	return name
}

// ended counts and logs what became of a request. Lines on failures are kept
// before lines on successes.
func (g *Gateway) ended(t proxy.Trace) {
	service := g.metrics.service(t.Service)
	g.metrics.requests.WithLabelValues(service, strconv.Itoa(t.Status), t.Reason).Inc()
	g.metrics.latency.WithLabelValues(service).Observe(t.Latency.Seconds())
	limits := g.metrics.successes
	if t.Cause != nil || t.Status >= http.StatusBadRequest {
		limits = g.metrics.failures
	}
	if !limits.Allow() {
		return
	}
	klog.InfoS("Request ended", "id", t.ID, "service", t.Service, "route", t.Route, "version", t.ConfigVersion,
		"keyed", t.Keyed, "key", t.Key, "target", t.Target, "expected", t.ExpectedLatency, "sends", t.Sends, "status", t.Status,
		"reason", t.Reason, "took", t.Latency, "targetsAge", g.catalog.Age(platform.TopicTargets),
		"ownersAge", g.catalog.Age(platform.TopicOwners), "err", t.Cause)
}
