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

// Limits of one request.
const (
	maxBodyBytes  = 16 << 20
	maxGrantBytes = 16 << 20
	chunkBytes    = 16 << 10
)

// settings are a target's fixed properties.
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
	reporting    ReportOverride
	audit        io.Writer
}

// Option changes a setting of a Target.
type Option func(*settings)

// WithName sets the names of the target's service and of the target itself.
func WithName(service, name string) Option {
	return func(s *settings) { s.service, s.name = service, name }
}

// WithChecked makes the target refuse terms lower than the highest it saw.
func WithChecked(checked bool) Option { return func(s *settings) { s.checked = checked } }

// WithSlots sets how many requests run at once.
func WithSlots(slots int) Option { return func(s *settings) { s.slots = slots } }

// WithQueue sets how many requests wait for a slot before more are shed.
func WithQueue(queue int) Option { return func(s *settings) { s.queue = queue } }

// WithConnections sets how many connections are open at once.
func WithConnections(count int) Option { return func(s *settings) { s.connections = count } }

// WithServiceTime sets how long a request runs that doesn't say so itself.
func WithServiceTime(d time.Duration) Option { return func(s *settings) { s.serviceTime = d } }

// WithConnectTime sets how long a new connection takes to become usable.
func WithConnectTime(d time.Duration) Option { return func(s *settings) { s.connectTime = d } }

// WithProbeTime sets how long the answer to a clock probe takes.
func WithProbeTime(d time.Duration) Option { return func(s *settings) { s.probeTime = d } }

// WithColdStart makes requests run factor times longer for the time d after their
// shard was newly granted, and for the first requests of each key.
func WithColdStart(d time.Duration, requests int, factor float64) Option {
	return func(s *settings) { s.coldStart, s.coldRequests, s.coldFactor = d, requests, factor }
}

// WithLoadLag sets how far the reported load and health lag behind.
func WithLoadLag(d time.Duration) Option { return func(s *settings) { s.loadLag = d } }

// WithDrainRefuse sets how long after its drain began the target refuses
// new requests.
func WithDrainRefuse(d time.Duration) Option { return func(s *settings) { s.drainRefuse = d } }

// WithReportBytes sets the size of the answers to the path /report.
func WithReportBytes(bytes int) Option { return func(s *settings) { s.reportBytes = bytes } }

// WithReportOverride sets how the target misreports itself from the start.
func WithReportOverride(report ReportOverride) Option {
	return func(s *settings) { s.reporting = report }
}

// WithAudit sets where the audit's JSON lines go, one write each.
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
