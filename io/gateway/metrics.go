package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"pineturn/io/listener"
	"pineturn/io/logsink"
	"pineturn/io/proxy"
	"pineturn/platform"
)

const (
	// maxServices limits the number of services with their own metric label.
	maxServices = 32
	// otherService is the label of all other services.
	otherService = "other"
	// failureLinesPerSecond and successLinesPerSecond limit the log lines for
	// requests that failed and that succeeded.
	failureLinesPerSecond = 40
	successLinesPerSecond = 2
)

// metrics are the metrics of this host, whose names start with pineturn_, and
// the rate limiters of its request log.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	relays   *prometheus.CounterVec
	// lostRelays counts relays whose outcome is not known.
	lostRelays *prometheus.CounterVec
	// suspectedSends counts sends that looked lost while they went on.
	suspectedSends *prometheus.CounterVec
	// keptAttempts counts the requests for attempts that other hosts keep back.
	keptAttempts *prometheus.CounterVec
	// queueWaits is the time of requests in queues of owners.
	queueWaits     *prometheus.HistogramVec
	retries        *prometheus.CounterVec
	moves          *prometheus.CounterVec
	unservable     *prometheus.GaugeVec
	storeCalls     *prometheus.CounterVec
	storeLatency   *prometheus.HistogramVec
	failureLimiter *logsink.RateLimiter
	successLimiter *logsink.RateLimiter

	mu sync.Mutex
	// services are the services with their own label.
	services map[string]bool
}

// latencyBuckets are the bucket bounds of the histograms, in seconds.
var latencyBuckets = []float64{0.01, 0.03, 0.1, 0.3, 0.6, 1.2, 2.5, 5}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pineturn_requests_total", Help: "Callers' requests, by service, status and reason.",
		}, []string{"service", "status", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pineturn_request_seconds", Help: "Time to the final answer, by service.", Buckets: latencyBuckets,
		}, []string{"service"}),
		relays: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pineturn_relayed_requests_total", Help: "Requests relayed to or by other hosts, by direction, service and reason.",
		}, []string{"direction", "service", "reason"}),
		lostRelays: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pineturn_lost_relays_total", Help: "Requests relayed to other hosts of which no usable answer came back, by service.",
		}, []string{"service"}),
		suspectedSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pineturn_suspected_sends_total", Help: "Sends of requests that looked lost while they went on, by service and reason of the requests' outcome.",
		}, []string{"service", "reason"}),
		keptAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pineturn_kept_attempts_total", Help: "Attempts asked for that the relaying host keeps back, by service and outcome.",
		}, []string{"service", "outcome"}),
		queueWaits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pineturn_owner_queue_seconds", Help: "Time of requests in the queues of owners that this host holds.", Buckets: latencyBuckets,
		}, []string{"service"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pineturn_retries_total", Help: "Retries and hedges of requests, by service and decision of the retry budget.",
		}, []string{"service", "decision"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pineturn_key_moves_total", Help: "Ranges of keys that this host moved as the leader to spread load, by service and reason.",
		}, []string{"service", "reason"}),
		unservable: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pineturn_unservable_key_load",
			Help: "Requests per second for single keys beyond what any target serves, by service, when this host last led.",
		}, []string{"service"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pineturn_store_calls_total", Help: "Calls to the platform's store, by call and outcome.",
		}, []string{"call", "outcome"}),
		storeLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pineturn_store_seconds", Help: "Time of calls to the platform's store, waits included.", Buckets: latencyBuckets,
		}, []string{"call"}),
		failureLimiter: logsink.NewRateLimiter(failureLinesPerSecond), successLimiter: logsink.NewRateLimiter(successLinesPerSecond),
		services: make(map[string]bool),
	}
	m.registry.MustRegister(m.requests, m.latency, m.relays, m.lostRelays, m.suspectedSends, m.keptAttempts, m.queueWaits, m.retries, m.moves, m.unservable, m.storeCalls, m.storeLatency)
	return m
}

// registerGauges registers the gauges whose values are read from components of
// the host.
func (m *metrics) registerGauges(g *Gateway) {
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
	gauge("detached_services", "Services whose targets this host can't reach.", func() float64 { return float64(len(g.peers.Self().Detached)) })
	gauge("owner_queue", "1 while keyed requests are relayed to the hosts that hold the queues of their owners.", func() float64 {
		if g.ownerQueue.Enabled() {
			return 1
		}
		return 0
	})
	gauge("learned_concurrency", "1 while requests are sent by what was learned of each target.", func() float64 {
		if g.learnedConcurrency.Enabled() {
			return 1
		}
		return 0
	})
	gauge("owner_queue_waiting", "Requests that wait in the queues of owners that this host holds.", func() float64 {
		waiting, _ := g.proxy.QueuedRequests()
		return float64(waiting)
	})
	gauge("owner_queue_running", "Requests of these queues that are in progress at the owners.", func() float64 {
		_, running := g.proxy.QueuedRequests()
		return float64(running)
	})
	gauge("blocked_requests", "Requests that are refused because they end targets.", func() float64 { return float64(len(g.poison.Blocks(g.clock.Now()))) })
	gauge("limited_targets", "Targets that have named a limit of requests.", func() float64 { return float64(g.targets.LimitedTargets()) })
	gauge("cold_targets", "Targets that are cold, or taken to be, with a bound on their requests.", func() float64 { return float64(g.targets.ColdTargets(g.clock.Now())) })
	gauge("drained_domains", "Failure domains that the operator drains.", func() float64 { return float64(len(g.catalog.DomainDrains())) })
	gauge("sharing_hosts", "Hosts that are taken to share the retry budget and the limits of targets.", func() float64 { return float64(g.hosts.Hosts()) })
	gauge("owners_epoch", "Epoch of the assignment of keys as last read.", func() float64 {
		if a := g.catalog.Assignment(); a != nil {
			return float64(a.Epoch)
		}
		return 0
	})
	gauge("keys_moving", "Ranges of keys on their way to another owner.", func() float64 { return float64(g.movingRanges()) })
	m.registerProbes(g.proxy)
	for _, topic := range []string{platform.TopicConfig, platform.TopicTargets, platform.TopicOwners} {
		gauge("age_seconds_"+ageNames[topic], "Age of the last proof that nothing newer was missed.", func() float64 {
			return g.catalog.Age(topic).Seconds()
		})
	}
	gauge("log_lines_dropped", "Log lines dropped to bound their number.", func() float64 {
		return float64(m.failureLimiter.Dropped() + m.successLimiter.Dropped() + g.logs.Dropped())
	})
}

// registerProbes registers the metrics of probes of other hosts.
func (m *metrics) registerProbes(p *proxy.Proxy) {
	counter := func(name, help string, value func(proxy.ProbeCounts) float64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "pineturn_host_probes_" + name + "_total", Help: help},
			func() float64 { return value(p.ProbeCounts()) }))
	}
	counter("silent", "Probes of other hosts without an answer in time.", func(c proxy.ProbeCounts) float64 { return float64(c.Silent) })
	counter("late", "Those of them whose answer came later: the host was well, it or a link was late.", func(c proxy.ProbeCounts) float64 { return float64(c.Late) })
	counter("late_seconds", "Sum of the times of late answers.", func(c proxy.ProbeCounts) float64 { return c.LateTime.Seconds() })
}

// registerConnections registers the metrics of callers' connections.
func (m *metrics) registerConnections(callers *listener.Listener) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pineturn_caller_connections", Help: "Open connections of callers.",
	}, func() float64 { return float64(callers.Open()) }))
	counter := func(outcome, help string, value func(listener.Counts) int64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "pineturn_caller_connections_" + outcome + "_total", Help: help,
		}, func() float64 { return float64(value(callers.Counts())) }))
	}
	counter("expired", "Connections of callers that were closed after the idle timeout.", func(c listener.Counts) int64 { return c.Expired })
	counter("displaced", "Idle connections of callers that were closed to make room for others.", func(c listener.Counts) int64 { return c.Displaced })
	counter("refused", "Connections of callers that were closed at once, as there was no room.", func(c listener.Counts) int64 { return c.Refused })
}

// ageNames are the names of topics in metrics and dumps.
var ageNames = map[string]string{
	platform.TopicConfig: "configuration", platform.TopicTargets: "targets", platform.TopicOwners: "owners",
}

// handler serves the metrics in the Prometheus text format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) observeStoreCall(path string, latency time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	call := platform.CallName(path)
	m.storeCalls.WithLabelValues(call, outcome).Inc()
	m.storeLatency.WithLabelValues(call).Observe(latency.Seconds())
}

// serviceLabel returns the metric label of a service. The number of labels is
// limited because service names come from the operator's configuration.
func (m *metrics) serviceLabel(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.services[name] && len(m.services) >= maxServices {
		return otherService
	}
	m.services[name] = true
	return name
}

// observeRetry counts a decision of the retry budget.
func (m *metrics) observeRetry(service string, allowed bool) {
	decision := "allowed"
	if !allowed {
		decision = "over-budget"
	}
	m.retries.WithLabelValues(m.serviceLabel(service), decision).Inc()
}

// recordRequest counts and logs a request that has ended. The host that relayed a request
// counts it among the callers' requests.
func (g *Gateway) recordRequest(r proxy.RequestRecord) {
	service := g.metrics.serviceLabel(r.Service)
	switch {
	case r.Relayed:
		g.metrics.relays.WithLabelValues("in", service, r.Reason).Inc()
	case r.Via != "":
		g.metrics.relays.WithLabelValues("out", service, r.Reason).Inc()
	}
	if r.LostRelays > 0 {
		g.metrics.lostRelays.WithLabelValues(service).Add(float64(r.LostRelays))
	}
	if r.Suspected > 0 {
		g.metrics.suspectedSends.WithLabelValues(service, r.Reason).Add(float64(r.Suspected))
	}
	if r.KeptAttempt != "" {
		g.metrics.keptAttempts.WithLabelValues(service, r.KeptAttempt).Inc()
	}
	if !r.Relayed {
		g.countRequest(service, r)
	}
	if r.Waited > 0 {
		g.metrics.queueWaits.WithLabelValues(service).Observe(r.Waited.Seconds())
	}
	g.logRequest(r)
}

func (g *Gateway) countRequest(service string, r proxy.RequestRecord) {
	g.metrics.requests.WithLabelValues(service, strconv.Itoa(r.Status), r.Reason).Inc()
	g.metrics.latency.WithLabelValues(service).Observe(r.Latency.Seconds())
}

// logRequest logs a request that has ended. Failures and successes have separate rate
// limits, so that successes do not displace failures in the log.
func (g *Gateway) logRequest(r proxy.RequestRecord) {
	limiter := g.metrics.successLimiter
	if r.Cause != nil || r.Status >= http.StatusBadRequest {
		limiter = g.metrics.failureLimiter
	}
	if !limiter.Allow() {
		return
	}
	klog.InfoS("Request ended", "id", r.ID, "service", r.Service, "route", r.Route, "version", r.ConfigVersion,
		"keyed", r.Keyed, "key", r.Key, "fingerprint", r.Fingerprint, "via", r.Via, "relayed", r.Relayed, "lostRelays", r.LostRelays, "suspected", r.Suspected, "keptAttempt", r.KeptAttempt, "target", r.Target, "expected", r.ExpectedLatency, "estimate", r.Estimate, "queued", r.Waited, "sends", r.Sends, "status", r.Status,
		"reason", r.Reason, "took", r.Latency, "targetsAge", g.catalog.Age(platform.TopicTargets),
		"ownersAge", g.catalog.Age(platform.TopicOwners), "err", r.Cause)
}
