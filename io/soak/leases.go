package soak

import (
	"slices"
	"time"

	"pineturn/core/clock"
	"pineturn/io/standin/keyholder"
)

// held is a lease as a target has taken it.
type held struct {
	keyholder.Event
	ended time.Time
	// late says that its order may have been held up on its way.
	late bool
}

func (h *held) end() time.Time {
	if !h.ended.IsZero() && h.ended.Before(h.Until) {
		return h.ended
	}
	return h.Until
}

// resuming reports whether an order that arrives at a moment may have been held
// up on its way.
func (j *Judge) resuming(at time.Time) bool {
	return slices.ContainsFunc(j.windows, func(w Window) bool {
		held := w.Kind == HostPause || w.Kind == TargetPause
		return held && !at.Before(w.From) && at.Before(w.To.Add(resumeTime))
	})
}

// granted notes a lease, or makes the one that it renews longer.
func (j *Judge) granted(e keyholder.Event) {
	late := j.resuming(e.At)
	for _, h := range j.leases {
		same := h.Target == e.Target && h.First == e.First && h.Last == e.Last && h.Fence == e.Fence
		if same && h.late == late && e.At.Before(h.end()) {
			h.Until = clock.Later(h.Until, e.Until)
			return
		}
	}
	j.leases = append(j.leases, &held{Event: e, late: late})
}

// released ends a target's leases on keys, as far as they are released.
func (j *Judge) released(e keyholder.Event) {
	var rest []*held
	for _, h := range j.leases {
		if h.Target != e.Target || h.Last < e.First || h.First > e.Last || !h.ended.IsZero() || e.At.Before(h.At) {
			continue
		}
		if h.First < e.First {
			left := *h
			left.Last = e.First - 1
			rest = append(rest, &left)
		}
		if h.Last > e.Last {
			right := *h
			right.First = e.Last + 1
			rest = append(rest, &right)
		}
		h.First, h.Last, h.ended = max(h.First, e.First), min(h.Last, e.Last), e.At
	}
	j.leases = append(j.leases, rest...)
}

// Settle checks leases against each other, and forgets those that ended before
// a moment up to which all events were told.
func (j *Judge) Settle(until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, a := range j.leases {
		for _, b := range j.leases[i+1:] {
			j.compare(a, b, until)
		}
	}
	j.leases = slices.DeleteFunc(j.leases, func(h *held) bool { return h.end().Before(until.Add(-calmTime)) })
}

func (j *Judge) compare(a, b *held, until time.Time) {
	if a.Target == b.Target || a.late || b.late || a.Last < b.First || a.First > b.Last {
		return
	}
	from, to := clock.Later(a.At, b.At), clock.Earlier(clock.Earlier(a.end(), b.end()), until)
	if !from.Before(to) {
		return
	}
	first, last := max(a.First, b.First), min(a.Last, b.Last)
	if to.Sub(from) > shareTime || j.bothRan(a.Target, b.Target, first, last, from, to) {
		j.breaks("targets %s (fencing token %d) and %s (%d) had keys %d to %d for %v", a.Target, a.Fence, b.Target, b.Fence, first, last, to.Sub(from))
		a.late, b.late = true, true
	}
}

// bothRan reports whether two targets began requests for some keys in a time.
func (j *Judge) bothRan(a, b string, first, last int, from, to time.Time) bool {
	ran := make(map[string]bool)
	for _, runs := range j.runs {
		for _, r := range runs {
			if r.Key >= first && r.Key <= last && !r.At.Before(from) && r.At.Before(to) {
				ran[r.Target] = true
			}
		}
	}
	return ran[a] && ran[b]
}
