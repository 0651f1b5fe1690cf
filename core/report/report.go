// Package report turns the attempts of a load run into figures: latency
// percentiles, outcomes, imbalance, churn and unavailable time. It sends and
// stores nothing.
package report

import "time"

// Info says what a run was.
type Info struct {
	Mode     string  `json:"mode"`
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate"`
	// DelayMs is the one-way delay between callers and hosts that is added
	// to each latency by arithmetic; nothing waits for it.
	DelayMs float64 `json:"delay_ms"`
	// Targets is how many targets each service has; without an entry, those
	// seen in the run count.
	Targets map[string]int `json:"targets,omitempty"`
	// Started is when the run began, in nanoseconds since the Unix epoch.
	Started int64 `json:"started_ns"`
}

// Report is the result of a run. Durations are milliseconds.
type Report struct {
	Info     Info      `json:"info"`
	Seconds  float64   `json:"seconds"`
	Totals   Service   `json:"totals"`
	Services []Service `json:"services"`
	Windows  []Window  `json:"windows"`
}

// Service holds the figures of one service, or of all of them.
type Service struct {
	Name      string         `json:"name"`
	Requests  int            `json:"requests"`
	Done      int            `json:"done"`
	NotRun    int            `json:"not_run"`
	Unknown   int            `json:"unknown"`
	Wrong     int            `json:"wrong"`
	Attempts  int            `json:"attempts"`
	Retries   int            `json:"retries"`
	Goodput   float64        `json:"goodput_per_s"`
	Reasons   map[string]int `json:"reasons"`
	Latency   Percentiles    `json:"latency"`
	Overhead  Percentiles    `json:"overhead"`
	Refusal   Percentiles    `json:"refusal"`
	Imbalance Imbalance      `json:"imbalance"`
	Churn     Churn          `json:"churn"`
	// Unavailable covers requests and probes.
	Unavailable Unavailable `json:"unavailable"`
}

// Percentiles summarises a latency distribution in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Imbalance is the largest load of a target over the mean load of all, over
// one-second windows. Load is the work that was asked for. Bound is the lowest value that any
// assignment could reach in the window, set by its hottest key.
type Imbalance struct {
	Windows int     `json:"windows"`
	Targets int     `json:"targets"`
	Mean    float64 `json:"mean"`
	P95     float64 `json:"p95"`
	Max     float64 `json:"max"`
	Bound   float64 `json:"bound_mean"`
	// Whole is the imbalance over the whole run, and WholeBound its bound.
	Whole      float64 `json:"whole"`
	WholeBound float64 `json:"whole_bound"`
}

// Churn counts changes of owner among the keys seen.
type Churn struct {
	Keys    int `json:"keys"`
	Moved   int `json:"moved"`
	Changes int `json:"changes"`
}

// Unavailable is the time from the first failed attempt of a key to the end
// of its next successful one. Refusals for overload are no failure here.
type Unavailable struct {
	Keys  int     `json:"keys"`
	Gaps  int     `json:"gaps"`
	Total float64 `json:"total_ms"`
	// Worst is the longest sum over one key.
	Worst    float64 `json:"worst_ms"`
	WorstKey string  `json:"worst_key"`
	// LongestGap is the longest single gap.
	LongestGap float64 `json:"longest_gap_ms"`
	// Open counts keys that had no success after their last failure.
	Open int `json:"open"`
	// LongestWait is the longest time that a successful attempt took beyond
	// its work: a key that makes its callers wait fails no attempt.
	LongestWait float64 `json:"longest_wait_ms"`
}

// Window holds the figures of one second of the run.
type Window struct {
	Second      int                `json:"second"`
	Sent        int                `json:"sent"`
	Done        int                `json:"done"`
	NotRun      int                `json:"not_run"`
	Unknown     int                `json:"unknown"`
	P50         float64            `json:"p50_ms"`
	P99         float64            `json:"p99_ms"`
	Max         float64            `json:"max_ms"`
	Imbalance   map[string]float64 `json:"imbalance,omitempty"`
	Unavailable int                `json:"unavailable_keys"`
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}
