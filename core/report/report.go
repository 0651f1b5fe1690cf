// Package report computes the figures of a load run from its attempts: latency
// percentiles, outcomes, imbalance, churn and unavailable time. It has no network
// or file access.
package report

import "time"

// Info describes a run.
type Info struct {
	Mode     string `json:"mode"`
	Workload string `json:"workload"`
	Seed     uint64 `json:"seed"`
	// Rate is the offered load in requests per second.
	Rate float64 `json:"rate"`
	// DelayMs is the one-way delay between callers and hosts in milliseconds. Twice
	// the delay is added to each measured latency; no request is actually delayed.
	DelayMs float64 `json:"delay_ms"`
	// Targets is the number of targets of each service. Without an entry, the
	// number of targets observed in the run is used.
	Targets map[string]int `json:"targets,omitempty"`
	// Started is the start of the run in nanoseconds since the Unix epoch.
	Started int64 `json:"started_ns"`
}

// Report is the result of a run. Durations are in milliseconds, except for Seconds.
type Report struct {
	Info Info `json:"info"`
	// Seconds is the duration of the run in seconds.
	Seconds  float64   `json:"seconds"`
	Totals   Service   `json:"totals"`
	Services []Service `json:"services"`
	Windows  []Window  `json:"windows"`
}

// Service holds the figures of one service, or of all services.
type Service struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Done     int    `json:"done"`
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	// Wrong counts the requests with the outcome done and a wrong or incomplete
	// response.
	Wrong    int `json:"wrong"`
	Attempts int `json:"attempts"`
	Retries  int `json:"retries"`
	// Goodput is the number of correctly completed requests per second.
	Goodput float64        `json:"goodput_per_s"`
	Reasons map[string]int `json:"reasons"`
	Latency Percentiles    `json:"latency"`
	// Overhead is the distribution of latency minus service time.
	Overhead Percentiles `json:"overhead"`
	// Refusal is the distribution of the time from the send of an attempt to its end
	// with the outcome not-run, with or without a response.
	Refusal   Percentiles `json:"refusal"`
	Imbalance Imbalance   `json:"imbalance"`
	Churn     Churn       `json:"churn"`
	// Unavailable is computed from requests and probes.
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

// Imbalance is the ratio of the largest load of a target to the mean load of all
// targets, over the one-second windows of a run. Load is the requested service
// time.
type Imbalance struct {
	Windows int     `json:"windows"`
	Targets int     `json:"targets"`
	Mean    float64 `json:"mean"`
	P95     float64 `json:"p95"`
	Max     float64 `json:"max"`
	// Bound is the mean of the lowest ratios that any assignment could reach in the
	// windows. The limit is set by the hottest key of a window.
	Bound float64 `json:"bound_mean"`
	// WholeRun is the imbalance over the whole run.
	WholeRun float64 `json:"whole"`
	// WholeRunBound is the lowest possible value of WholeRun.
	WholeRunBound float64 `json:"whole_bound"`
}

// Churn counts the changes of owner of the observed keys.
type Churn struct {
	Keys    int `json:"keys"`
	Moved   int `json:"moved"`
	Changes int `json:"changes"`
}

// Unavailable holds the figures on the periods in which keys were unavailable
// (gaps). A gap lasts from the start of the first failed attempt for a key to the
// end of the next successful one. A refusal because of overload does not count as
// a failure.
type Unavailable struct {
	Keys  int     `json:"keys"`
	Gaps  int     `json:"gaps"`
	Total float64 `json:"total_ms"`
	// Worst is the longest total unavailable time of a key, WorstKey that key.
	Worst    float64 `json:"worst_ms"`
	WorstKey string  `json:"worst_key"`
	// LongestGap is the longest single gap.
	LongestGap float64 `json:"longest_gap_ms"`
	// Open is the number of keys without a success after their last failure.
	Open int `json:"open"`
	// LongestWait is the longest time of a successful attempt beyond its service
	// time. It shows unavailability that delays attempts without failing them.
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
