package audit

import (
	"errors"
	"sort"
	"time"
)

// Problem is the kind of a violated guarantee.
type Problem string

// The problems that Check finds.
const (
	// TwoOwners is a key that two targets owned at the same time, or whose
	// requests two targets ran at the same time.
	TwoOwners Problem = "two-owners"
	// OutsideGrant is a request that ran while its target did not own its key.
	OutsideGrant Problem = "outside-grant"
	// EpochReverted is a shard that was granted at a lower epoch than before.
	EpochReverted Problem = "epoch-reverted"
	// RunTwice is a request that must not be repeated and ran more than once.
	RunTwice Problem = "run-twice"
	// NotRunButRan is a request that ran although its caller received the outcome
	// not-run.
	NotRunButRan Problem = "not-run-but-ran"
	// DoneWithoutRun is a request with the outcome done that no target ran.
	DoneWithoutRun Problem = "done-without-run"
	// ResponseMismatch is a request with the outcome done and a response to another
	// request.
	ResponseMismatch Problem = "answer-of-another"
	// ResponseTruncated is a request with the outcome done and an incomplete
	// response.
	ResponseTruncated Problem = "answer-cut"
	// ResponseInvalid is a request with the outcome done whose response failed the
	// caller's check, has no request id, or is longer than expected.
	ResponseInvalid Problem = "answer-wrong"
	// AfterDrain is a request that reached a target later than the drain bound
	// after its drain began.
	AfterDrain Problem = "after-drain"
)

// Finding is one violation of a guarantee.
type Finding struct {
	Problem Problem  `json:"problem"`
	Service string   `json:"service,omitempty"`
	Shard   string   `json:"shard,omitempty"`
	Key     string   `json:"key,omitempty"`
	Request string   `json:"request,omitempty"`
	Targets []string `json:"targets,omitempty"`
	// FromNs is the start of the violation as wall time, in nanoseconds since the
	// Unix epoch. It is zero where it does not apply.
	FromNs int64 `json:"from_ns,omitempty"`
	// ToNs is the end of the violation, in the same unit.
	ToNs   int64  `json:"to_ns,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Report is the result of Check.
type Report struct {
	Counts   Counts    `json:"counts"`
	Findings []Finding `json:"findings"`
}

// Counts holds the number of entries and records by kind, and figures on the
// changes of owner.
type Counts struct {
	Entries       int `json:"entries"`
	Targets       int `json:"targets"`
	Incarnations  int `json:"incarnations"`
	Grants        int `json:"grants"`
	Renewals      int `json:"renewals"`
	GrantsRefused int `json:"grants_refused"`
	Runs          int `json:"runs"`
	// Incomplete counts the runs that ended before completion.
	Incomplete int `json:"cut"`
	Refused    int `json:"refused"`
	Records    int `json:"records"`
	Done       int `json:"done"`
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	// Unrecorded counts the runs of requests without a record.
	Unrecorded int `json:"unrecorded"`
	// Moves is the number of times that a shard changed its target.
	Moves int `json:"moves"`
	// LongestGapNs is the longest time between two owners of a shard, in
	// nanoseconds.
	LongestGapNs int64 `json:"longest_gap_ns"`
}

// Errors of an audit that cannot be checked.
var (
	ErrEmpty   = errors.New("audit has no accepted grant or no request that ran, want both")
	ErrUnknown = errors.New("unknown kind or outcome; want a kind of audit entry, or the outcome done, not-run or unknown")
	ErrMixed   = errors.New("incarnations are interleaved or belong to several targets")
)

// DrainBound is the time after the start of a drain within which requests may
// still be sent to the target.
const DrainBound = 5 * time.Second

// File is the audit of one target. Its entries are in the order in which they
// were written, incarnation by incarnation.
type File struct {
	Name    string
	Entries []Entry
}

// Check verifies the guarantees against the audits of all targets and the
// records of all callers. No request may reach a target later than drainBound
// after its drain began. Check returns ErrEmpty if the audits have no accepted set
// of shards or no run, and ErrUnknown, ErrMixed or another error if an entry or
// record is invalid.
func Check(files []File, records []Record, drainBound time.Duration) (Report, error) {
	observed, err := reconstruct(files)
	if err != nil {
		return Report{}, err
	}
	if observed.counts.Grants == 0 || observed.counts.Runs == 0 {
		return Report{}, ErrEmpty
	}
	report := Report{Counts: observed.counts, Findings: []Finding{}}
	if err := report.Counts.addRecords(records); err != nil {
		return Report{}, err
	}
	report.Counts.measureMoves(observed.intervals)
	report.Counts.Unrecorded = unrecorded(observed.runs, records)
	for _, findings := range [][]Finding{
		twoOwners(observed.intervals),
		concurrentRuns(observed.runs),
		outsideGrant(observed),
		epochReverted(observed.intervals),
		afterDrain(observed, drainBound),
		runTwice(observed.runs, records),
		notRunButRan(observed.runs, records),
		responses(observed, records),
	} {
		report.Findings = append(report.Findings, findings...)
	}
	sort.SliceStable(report.Findings, func(i, j int) bool {
		return report.Findings[i].FromNs < report.Findings[j].FromNs
	})
	return report, nil
}

func (c *Counts) addRecords(records []Record) error {
	c.Records = len(records)
	for _, record := range records {
		switch record.Outcome {
		case outcomeDone:
			c.Done++
		case outcomeNotRun:
			c.NotRun++
		case outcomeUnknown:
			c.Unknown++
		default:
			return ErrUnknown
		}
	}
	return nil
}
