package keyholder

import (
	"fmt"
	"sync"
	"time"
)

// Run is a request that a target began to run, and the time at which it began. Key
// is -1 for a request without a key.
type Run struct {
	ID     string    `json:"id"`
	Target string    `json:"target"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Body   string    `json:"body"`
	Key    int       `json:"key"`
	At     time.Time `json:"at"`
}

// ownerLease is the audit's record of a target's lease on a key, which is valid
// before until. The zero time marks a released lease.
type ownerLease struct {
	target       string
	fencingToken int64
	until        time.Time
}

// Kind is the kind of an event.
type Kind string

const (
	// Arrived is a request that reached the target, which may refuse it.
	Arrived Kind = "arrived"
	// Began is the start of a request.
	Began Kind = "began"
	// Cancelled is the end of a request that its sender has cancelled at work.
	Cancelled Kind = "cancelled"
	// Granted is a lease that was granted or renewed.
	Granted Kind = "granted"
	// Released is a lease that was released after all requests for its keys
	// ended.
	Released Kind = "released"
)

// Event is one audit record of a target. Run is set for Began. First and Last, the
// inclusive range of keys, and FencingToken are set for Granted and Released. Until,
// the expiry of the lease, is set for Granted.
type Event struct {
	Kind         Kind      `json:"kind"`
	At           time.Time `json:"at"`
	Target       string    `json:"target"`
	Run          *Run      `json:"run,omitempty"`
	First        int       `json:"first,omitempty"`
	Last         int       `json:"last,omitempty"`
	FencingToken int64     `json:"fence,omitempty"`
	Until        time.Time `json:"until,omitzero"`
	// ID is the id of the request, and Limit the limit of requests a second that the
	// target names, 0 for none. Leaving and Resting report that the target says that it
	// leaves, or asks for a rest. All are set for Arrived, ID also for Cancelled.
	ID      string  `json:"id,omitempty"`
	Limit   float64 `json:"limit,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
	Resting bool    `json:"resting,omitempty"`
}

// Audit collects the events of all targets of a service and detects keys owned
// by two targets at once. The zero value is ready for use. An Audit is safe for
// concurrent use.
type Audit struct {
	// OnEvent, if not nil, is called with each event while the audit's lock is
	// held. It must be set before first use.
	OnEvent func(Event)

	mu         sync.Mutex
	runs       []Run
	leases     map[int]ownerLease
	violations []string
}

// Runs returns a copy of all recorded runs.
func (a *Audit) Runs() []Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Run(nil), a.runs...)
}

// Violations returns a description of each grant of a key that another target
// still owned, or whose fencing token was not higher than the former owner's.
func (a *Audit) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.violations...)
}

// Owners returns the targets that hold an unexpired lease on at least one key.
func (a *Audit) Owners() map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	owners := make(map[string]bool)
	now := time.Now()
	for _, held := range a.leases {
		if now.Before(held.until) {
			owners[held.target] = true
		}
	}
	return owners
}

// ReleaseAll records that a target has stopped and its leases have ended.
func (a *Audit) ReleaseAll(target string) { a.recordRelease(target, leaseRequest{From: 0, To: maxKey}) }

// maxKey is the highest key.
const maxKey = 1<<16 - 1

func (a *Audit) emit(e Event) {
	if a.OnEvent != nil {
		a.OnEvent(e)
	}
}

// recordRequest records an event of a request that is no run.
func (a *Audit) recordRequest(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.emit(e)
}

func (a *Audit) recordRun(run Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(a.runs, run)
	a.emit(Event{Kind: Began, At: run.At, Target: run.Target, Run: &run})
}

func (a *Audit) recordGrant(target string, req leaseRequest, now, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.emit(Event{Kind: Granted, At: now, Target: target, First: req.From, Last: req.To, FencingToken: req.FencingToken, Until: until})
	if a.leases == nil {
		a.leases = make(map[int]ownerLease)
	}
	for key := req.From; key <= req.To; key++ {
		held, ok := a.leases[key]
		if other := ok && held.target != target; other && (now.Before(held.until) || held.fencingToken >= req.FencingToken) {
			a.violations = append(a.violations, fmt.Sprintf("key %d: granted to %s with fencing token %d while %s held it with %d, which expires %v after the grant",
				key, target, req.FencingToken, held.target, held.fencingToken, held.until.Sub(now)))
			return
		}
		a.leases[key] = ownerLease{target: target, fencingToken: req.FencingToken, until: until}
	}
}

func (a *Audit) recordRelease(target string, req leaseRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.emit(Event{Kind: Released, At: time.Now(), Target: target, First: req.From, Last: req.To, FencingToken: req.FencingToken})
	for key := req.From; key <= req.To; key++ {
		if held, ok := a.leases[key]; ok && held.target == target {
			held.until = time.Time{}
			a.leases[key] = held
		}
	}
}
