package load

import (
	"time"

	"pineturn/core/workload"
)

// Defaults of the settings.
const (
	// DefaultRate is in requests a second.
	DefaultRate = 200
	// DefaultDuration is the length of a run.
	DefaultDuration = 30 * time.Second
	// DefaultCallers is how many requests may be on their way at once.
	DefaultCallers = 2000
	// DefaultTimeout is how long a caller waits for the answer of an attempt.
	DefaultTimeout = 5 * time.Second
	// DefaultAttempts is how often a caller sends a request at most.
	DefaultAttempts = 3
	// DefaultShift is how long the hot keys stay hot.
	DefaultShift = 10 * time.Second
	// DefaultProbeEvery is the interval between the probes of a key.
	DefaultProbeEvery = 20 * time.Millisecond
	// DefaultGrantLife is how long a grant of direct mode lasts.
	DefaultGrantLife = 5 * time.Second
)

const (
	// waiting is how many requests may wait for a free caller. The schedule
	// stands still when it is full; latencies still count from the due time.
	waiting = 1 << 16
	// defaultRetryAfter is the pause before a retry without Retry-After.
	defaultRetryAfter = 100 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// progressEvery is the interval between progress lines.
	progressEvery = time.Second
	// renewEvery is the fraction of a grant's life between its renewals.
	renewEvery = 4
)

// Options are the settings of a run.
type Options struct {
	// Workload is the traffic to send.
	Workload *workload.Workload
	// Schedule holds seed, rate and duration; a rate of 0 sends probes only.
	Schedule workload.Options
	// Hosts are the entry hosts, host:port each; one is chosen at random for
	// every attempt.
	Hosts []string
	// Callers bounds the requests on their way at once.
	Callers int
	// Timeout bounds an attempt.
	Timeout time.Duration
	// Attempts bounds how often a request is sent.
	Attempts int
	// Probes is how many keys of each service are probed.
	Probes int
	// ProbeEvery is the interval between the probes of a key.
	ProbeEvery time.Duration
	// Delay is the one-way delay to callers, added to latencies by arithmetic.
	Delay time.Duration
	// Targets is how many targets each service has.
	Targets map[string]int
}
