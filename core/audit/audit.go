package audit

import (
	"errors"
	"sort"
	"time"
)

// Problem is a kind of broken promise.
type Problem string

// The problems that Check finds.
const (
	// TwoOwners is a key that two targets owned, or ran requests of, at one
	// moment.
	TwoOwners Problem = "two-owners"
	// OutsideGrant is a request that ran while its target didn't own its key.
	OutsideGrant Problem = "outside-grant"
	// EpochReverted is a shard granted under an older epoch than before.
	EpochReverted Problem = "epoch-reverted"
	// RunTwice is a request that may run once and ran more often.
	RunTwice Problem = "run-twice"
	// NotRunButRan is a request that its caller was told had not run.
	NotRunButRan Problem = "not-run-but-ran"
	// DoneWithoutRun is an answer that no target gave.
	DoneWithoutRun Problem = "done-without-run"
	// ResponseMismatch, ResponseTruncated and ResponseInvalid are faulty responses reported as done.
	ResponseMismatch  Problem = "answer-of-another"
	ResponseTruncated Problem = "answer-cut"
	ResponseInvalid   Problem = "answer-wrong"
	// AfterDrain is a request that reached a target after its drain bound.
	AfterDrain Problem = "after-drain"
)

// Finding is one broken promise. From and To are wall time in nanoseconds,
// zero where they don't apply.
type Finding struct {
	Problem Problem  `json:"problem"`
	Service string   `json:"service,omitempty"`
	Shard   string   `json:"shard,omitempty"`
	Key     string   `json:"key,omitempty"`
	Request string   `json:"request,omitempty"`
	Targets []string `json:"targets,omitempty"`
	FromNs  int64    `json:"from_ns,omitempty"`
	ToNs    int64    `json:"to_ns,omitempty"`
	Detail  string   `json:"detail,omitempty"`
}

// Report is what Check read, measured and found.
type Report struct {
	Counts   Counts    `json:"counts"`
	Findings []Finding `json:"findings"`
}

// Counts say how much was read, and how ownership moved: Moves is how often a
// shard changed its target, LongestGapNs the longest time between two owners.
type Counts struct {
	Entries       int   `json:"entries"`
	Targets       int   `json:"targets"`
	Incarnations  int   `json:"incarnations"`
	Grants        int   `json:"grants"`
	Renewals      int   `json:"renewals"`
	GrantsRefused int   `json:"grants_refused"`
	Runs          int   `json:"runs"`
	Incomplete    int   `json:"cut"`
	Refused       int   `json:"refused"`
	Records       int   `json:"records"`
	Done          int   `json:"done"`
	NotRun        int   `json:"not_run"`
	Unknown       int   `json:"unknown"`
	Unrecorded    int   `json:"unrecorded"`
	Moves         int   `json:"moves"`
	LongestGapNs  int64 `json:"longest_gap_ns"`
}

// Errors for an audit that can't be judged.
var (
	ErrEmpty   = errors.New("audit holds no accepted grant or no request run")
	ErrUnknown = errors.New("unknown kind or outcome")
	ErrMixed   = errors.New("incarnations are mixed, or are of several targets")
)

// DrainBound is how long after its drain began a target may still be sent
// requests.
const DrainBound = 5 * time.Second

// File is the audit of one target: the entries of its incarnations, one after
// the other, in the order in which they were written.
type File struct {
	Name    string
	Entries []Entry
}

// Check judges the audits of all targets and the records of all callers.
func Check(files []File, records []Record, drainBound time.Duration) (Report, error) {
	found, err := digest(files)
	if err != nil {
		return Report{}, err
	}
	if found.counts.Grants == 0 || found.counts.Runs == 0 {
		return Report{}, ErrEmpty
	}
	report := Report{Counts: found.counts, Findings: []Finding{}}
	if err := report.Counts.addRecords(records); err != nil {
		return Report{}, err
	}
	report.Counts.measure(found.intervals)
	report.Counts.Unrecorded = unrecorded(found.runs, records)
	for _, findings := range [][]Finding{
		twoOwners(found.intervals),
		twoRunners(found.runs),
		outsideGrant(found),
		epochReverted(found.intervals),
		afterDrain(found, drainBound),
		runTwice(found.runs, records),
		toldNotRun(found.runs, records),
		answers(found, records),
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
