package target

import (
	"io"
	"time"
)

// Default settings.
const (
	defaultSlots       = 2
	defaultConnections = 100
	defaultServiceTime = 5 * time.Millisecond
	defaultColdFactor  = 5
	defaultReportBytes = 256 << 10
	defaultDrainRefuse = 5 * time.Second
)

// Limits of one request, in bytes. A response body is written in chunks of
// chunkBytes.
const (
	maxBodyBytes  = 16 << 20
	maxGrantBytes = 16 << 20
	chunkBytes    = 16 << 10
)

// settings holds the properties of a target that do not change after New. The
// options below describe them.
type settings struct {
	service      string
	name         string
	checked      bool
	slots        int
	queue        int
	connections  int
	serviceTime  time.Duration
	connectTime  time.Duration
	probeTime    time.Duration
	coldStart    time.Duration
	coldRequests int
	coldFactor   float64
	loadLag      time.Duration
	drainRefuse  time.Duration
	reportBytes  int
	override     ReportOverride
	audit        io.Writer
}

// Option changes a setting of a Target.
type Option func(*settings)

// WithName sets the names of the target's service and of the target itself.
func WithName(service, name string) Option {
	return func(s *settings) { s.service, s.name = service, name }
}

// WithChecked makes the target check fencing tokens: it refuses orders and
// requests with a term lower than the highest one that it has accepted, and
// requests with an epoch other than that of the owned shard.
func WithChecked(checked bool) Option { return func(s *settings) { s.checked = checked } }

// WithSlots sets the maximum number of requests that run concurrently.
func WithSlots(slots int) Option { return func(s *settings) { s.slots = slots } }

// WithQueue sets the maximum number of requests that wait for a slot. Requests
// beyond it are shed.
func WithQueue(queue int) Option { return func(s *settings) { s.queue = queue } }

// WithConnections sets the maximum number of open connections.
func WithConnections(count int) Option { return func(s *settings) { s.connections = count } }

// WithServiceTime sets how long a request runs that does not state a duration
// in its query.
func WithServiceTime(d time.Duration) Option { return func(s *settings) { s.serviceTime = d } }

// WithConnectTime sets the time from accepting a connection to the first read
// from it.
func WithConnectTime(d time.Duration) Option { return func(s *settings) { s.connectTime = d } }

// WithProbeTime sets the time after which the target responds to a clock probe.
func WithProbeTime(d time.Duration) Option { return func(s *settings) { s.probeTime = d } }

// WithColdStart multiplies the service time by factor for two kinds of requests:
// those that start within d after their shard was newly granted, and the first
// requests of each key, as many as the argument requests states. The target reports
// health cold until d after its start.
func WithColdStart(d time.Duration, requests int, factor float64) Option {
	return func(s *settings) { s.coldStart, s.coldRequests, s.coldFactor = d, requests, factor }
}

// WithLoadLag sets the age of the load and health that the target reports.
func WithLoadLag(d time.Duration) Option { return func(s *settings) { s.loadLag = d } }

// WithDrainRefuse sets the time from the beginning of a drain to the refusal of
// new requests.
func WithDrainRefuse(d time.Duration) Option { return func(s *settings) { s.drainRefuse = d } }

// WithReportBytes sets the size, in bytes, of responses on the path /report to
// requests that do not state a size.
func WithReportBytes(bytes int) Option { return func(s *settings) { s.reportBytes = bytes } }

// WithReportOverride sets the override of the reported status at the start.
func WithReportOverride(o ReportOverride) Option { return func(s *settings) { s.override = o } }

// WithAudit sets the writer of the audit, which gets one write for each JSON
// line. The default discards the audit.
func WithAudit(w io.Writer) Option { return func(s *settings) { s.audit = w } }

func defaults() settings {
	return settings{
		service:     "sample",
		name:        "target-1",
		slots:       defaultSlots,
		connections: defaultConnections,
		serviceTime: defaultServiceTime,
		coldFactor:  defaultColdFactor,
		reportBytes: defaultReportBytes,
		drainRefuse: defaultDrainRefuse,
		audit:       io.Discard,
	}
}
