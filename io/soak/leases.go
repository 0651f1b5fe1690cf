package soak

import (
	"slices"
	"time"

	"pineturn/core/clock"
	"pineturn/io/standin/keyholder"
)

// lease is a lease as observed by a target.
type lease struct {
	keyholder.Event
	ended time.Time
	// ignored excludes the lease from the check for overlaps. It is set if the
	// grant may have been delayed on the way to the target, so that the observed
	// start of the lease may be too late, and after an overlap of the lease was
	// reported, so that the overlap is reported once.
	ignored bool
}

func (l *lease) end() time.Time {
	if !l.ended.IsZero() && l.ended.Before(l.Until) {
		return l.ended
	}
	return l.Until
}

// mayBeDelayed reports whether a grant that a target received at the time at may
// have been delayed by a pause of a host or target.
func (c *Checker) mayBeDelayed(at time.Time) bool {
	return slices.ContainsFunc(c.windows, func(w Window) bool {
		pause := w.Kind == HostPause || w.Kind == TargetPause
		return pause && !at.Before(w.From) && at.Before(w.To.Add(resumeDelay))
	})
}

// addGrant adds a lease, or extends the lease that the grant renews.
func (c *Checker) addGrant(e keyholder.Event) {
	delayed := c.mayBeDelayed(e.At)
	for _, l := range c.leases {
		renewal := l.Target == e.Target && l.First == e.First && l.Last == e.Last && l.FencingToken == e.FencingToken
		if renewal && l.ignored == delayed && e.At.Before(l.end()) {
			l.Until = clock.Later(l.Until, e.Until)
			return
		}
	}
	c.leases = append(c.leases, &lease{Event: e, ignored: delayed})
}

// addRelease ends the leases of a target on the released keys. A lease that covers
// other keys as well is split.
func (c *Checker) addRelease(e keyholder.Event) {
	var remaining []*lease
	for _, l := range c.leases {
		if l.Target != e.Target || l.Last < e.First || l.First > e.Last || !l.ended.IsZero() || e.At.Before(l.At) {
			continue
		}
		if l.First < e.First {
			left := *l
			left.Last = e.First - 1
			remaining = append(remaining, &left)
		}
		if l.Last > e.Last {
			right := *l
			right.First = e.Last + 1
			remaining = append(remaining, &right)
		}
		l.First, l.Last, l.ended = max(l.First, e.First), min(l.Last, e.Last), e.At
	}
	c.leases = append(c.leases, remaining...)
}

// CheckLeases checks the leases for overlaps up to until, and removes those that
// ended more than quietPeriod before until. All events before until must have been
// added.
func (c *Checker) CheckLeases(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, a := range c.leases {
		for _, b := range c.leases[i+1:] {
			c.checkOverlap(a, b, until)
		}
	}
	c.leases = slices.DeleteFunc(c.leases, func(l *lease) bool { return l.end().Before(until.Add(-quietPeriod)) })
}

func (c *Checker) checkOverlap(a, b *lease, until time.Time) {
	if a.Target == b.Target || a.ignored || b.ignored || a.Last < b.First || a.First > b.Last {
		return
	}
	from, to := clock.Later(a.At, b.At), clock.Earlier(clock.Earlier(a.end(), b.end()), until)
	if !from.Before(to) {
		return
	}
	first, last := max(a.First, b.First), min(a.Last, b.Last)
	if to.Sub(from) > overlapTolerance || c.bothRan(a.Target, b.Target, first, last, from, to) {
		c.addViolation("targets %s (fencing token %d) and %s (fencing token %d) both held keys %d to %d for %v", a.Target, a.FencingToken, b.Target, b.FencingToken, first, last, to.Sub(from))
		a.ignored, b.ignored = true, true
	}
}

// bothRan reports whether two targets both started requests for keys between first
// and last, in the period between from and to.
func (c *Checker) bothRan(a, b string, first, last int, from, to time.Time) bool {
	ran := make(map[string]bool)
	for _, runs := range c.runs {
		for _, r := range runs {
			if r.Key >= first && r.Key <= last && !r.At.Before(from) && r.At.Before(to) {
				ran[r.Target] = true
			}
		}
	}
	return ran[a] && ran[b]
}
