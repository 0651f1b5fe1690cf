package keyholder

import (
	"fmt"
	"sync"
	"time"
)

// Run is a request that a target began to run.
type Run struct {
	ID     string    `json:"id"`
	Target string    `json:"target"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Body   string    `json:"body"`
	Key    int       `json:"key"`
	At     time.Time `json:"at"`
}

// tenure is a target's lease on a key.
type tenure struct {
	target string
	fence  int64
	until  time.Time
}

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	// Began is a request that began to run.
	Began Kind = "began"
	// Granted is a lease that began or was renewed, Released one that ended
	// with the work on its keys.
	Granted  Kind = "granted"
	Released Kind = "released"
)

// Event is what a target did. Run is set where it began a request, the range of
// keys where it took or gave up a lease.
type Event struct {
	Kind   Kind      `json:"kind"`
	At     time.Time `json:"at"`
	Target string    `json:"target"`
	Run    *Run      `json:"run,omitempty"`
	First  int       `json:"first,omitempty"`
	Last   int       `json:"last,omitempty"`
	Fence  int64     `json:"fence,omitempty"`
	Until  time.Time `json:"until,omitzero"`
}

// Audit collects what all targets of a service did, and notes where two had
// the same key. Its zero value is ready for use.
type Audit struct {
	// OnEvent, if set before use, is told of each event.
	OnEvent func(Event)

	mu      sync.Mutex
	runs    []Run
	tenures map[int]tenure
	faults  []string
}

// Runs returns all runs so far.
func (a *Audit) Runs() []Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Run(nil), a.runs...)
}

// Violations returns where two targets had the same key, or a fencing token did
// not rise.
func (a *Audit) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.faults...)
}

// Owners returns the targets that have keys now.
func (a *Audit) Owners() map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	holders := make(map[string]bool)
	now := time.Now()
	for _, held := range a.tenures {
		if now.Before(held.until) {
			holders[held.target] = true
		}
	}
	return holders
}

// ReleaseAll notes that a target is gone, with all its leases.
func (a *Audit) ReleaseAll(target string) { a.release(target, order{From: 0, To: maxKey}) }

const maxKey = 1<<16 - 1

func (a *Audit) tell(e Event) {
	if a.OnEvent != nil {
		a.OnEvent(e)
	}
}

func (a *Audit) ran(run Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(a.runs, run)
	a.tell(Event{Kind: Began, At: run.At, Target: run.Target, Run: &run})
}

func (a *Audit) grant(target string, o order, now, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tell(Event{Kind: Granted, At: now, Target: target, First: o.From, Last: o.To, Fence: o.Fence, Until: until})
	if a.tenures == nil {
		a.tenures = make(map[int]tenure)
	}
	for key := o.From; key <= o.To; key++ {
		held, ok := a.tenures[key]
		if other := ok && held.target != target; other && (now.Before(held.until) || held.fence >= o.Fence) {
			a.faults = append(a.faults, fmt.Sprintf("key %d: %s with fencing token %d while %s had %d until %v later",
				key, target, o.Fence, held.target, held.fence, held.until.Sub(now)))
			return
		}
		a.tenures[key] = tenure{target: target, fence: o.Fence, until: until}
	}
}

func (a *Audit) release(target string, o order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tell(Event{Kind: Released, At: time.Now(), Target: target, First: o.From, Last: o.To, Fence: o.Fence})
	for key := o.From; key <= o.To; key++ {
		if held, ok := a.tenures[key]; ok && held.target == target {
			held.until = time.Time{}
			a.tenures[key] = held
		}
	}
}
