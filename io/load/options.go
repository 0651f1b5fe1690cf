package load

import (
	"time"

	"pineturn/core/workload"
)

// Default settings.
const (
	// DefaultRate is the mean arrival rate, in requests per second.
	DefaultRate = 200
	// DefaultDuration is the length of a run.
	DefaultDuration = 30 * time.Second
	// DefaultCallers is the maximum number of concurrent requests.
	DefaultCallers = 2000
	// DefaultTimeout is how long a caller waits for the response to an attempt.
	DefaultTimeout = 5 * time.Second
	// DefaultAttempts is the maximum number of attempts of a request.
	DefaultAttempts = 3
	// DefaultHotSetPeriod is the time after which the set of hot keys changes.
	DefaultHotSetPeriod = 10 * time.Second
	// DefaultProbeInterval is the interval between the probes of a key.
	DefaultProbeInterval = 20 * time.Millisecond
	// DefaultGrantDuration is the duration of a grant in direct mode.
	DefaultGrantDuration = 5 * time.Second
)

const (
	// jobQueueSize is the number of attempts that can wait for a free caller.
	// The schedule blocks while the queue is full; latency is still measured from
	// the scheduled send time.
	jobQueueSize = 1 << 16
	// defaultRetryDelay is the delay before a retry if the attempt failed without a
	// Retry-After header.
	defaultRetryDelay = 100 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
	// progressInterval is the interval between progress lines.
	progressInterval = time.Second
	// renewalsPerGrant is the number of renewals within DefaultGrantDuration.
	renewalsPerGrant = 4
)

// Options are the settings of a load run.
type Options struct {
	// Workload is the workload to send.
	Workload *workload.Workload
	// Schedule has the seed, the rate and the duration. With a rate of 0, only
	// probes are sent.
	Schedule workload.Options
	// Hosts are the hosts to send to, host:port each. Each attempt is sent to a
	// random host.
	Hosts []string
	// Callers is the maximum number of concurrent requests.
	Callers int
	// Timeout is the maximum duration of an attempt.
	Timeout time.Duration
	// Attempts is the maximum number of attempts of a request.
	Attempts int
	// Probes is the number of probed keys per service.
	Probes int
	// ProbeInterval is the interval between the probes of a key.
	ProbeInterval time.Duration
	// Delay is the one-way network delay between callers and hosts. Twice the delay
	// is added to each measured latency in the report; nothing is delayed.
	Delay time.Duration
	// Targets is the number of targets by service, for the load imbalance in the
	// report.
	Targets map[string]int
}
