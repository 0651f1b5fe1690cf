package ownerqueue

import (
	"math"
	"slices"
	"time"
)

const (
	// maxReturnShare is the largest part of the time that a request has left after which its
	// caller is told to return: callers return then.
	maxReturnShare = 0.33
	// minRetryAfter is the shortest time after which a caller is told to return.
	minRetryAfter = 50 * time.Millisecond
)

// mayWait reports whether a request behind a number of others can be answered before its deadline
// as far as can be foreseen.
func (q *Queue) mayWait(t *Ticket, ahead int, now time.Time) bool {
	return !now.Add(q.expectedWait(t, ahead, now) + q.work(servedMargin)).After(t.Deadline)
}

// ahead returns the number of requests that are started before a new one.
func (q *Queue) ahead(t *Ticket, now time.Time) int {
	n := 0
	for _, other := range q.waiting {
		if q.before(other, t, now) {
			n++
		}
	}
	return n
}

// refuseHopeless refuses the waiting requests that can't be answered before their deadline any
// more.
func (q *Queue) refuseHopeless(now time.Time) []*Ticket {
	slices.SortStableFunc(q.waiting, func(a, b *Ticket) int {
		switch {
		case q.before(a, b, now):
			return -1
		case q.before(b, a, now):
			return 1
		}
		return 0
	})
	var hopeless []*Ticket
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if q.mayWait(t, len(kept), now) {
			kept = append(kept, t)
		} else {
			hopeless = append(hopeless, t)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	for _, t := range hopeless {
		q.refuse(t, now)
	}
	return hopeless
}

// expectedWait returns the time until a request behind a number of others would start: until those
// have and, if it can't be answered within its objective and the target is overloaded, those to come
// that can be and go before it.
func (q *Queue) expectedWait(t *Ticket, ahead int, now time.Time) time.Duration {
	free := max(q.parallel()-float64(q.running), 0)
	wait := max(float64(ahead+1)-free, 0) * float64(q.interval())
	if !q.overloaded(now) || q.inTime(t, now.Add(time.Duration(wait))) {
		return time.Duration(wait)
	}
	return time.Duration(wait / spareShare)
}

// parallel returns the number of this host's requests that the target runs at the same time.
func (q *Queue) parallel() float64 {
	return max(min(q.target.Limit, float64(q.target.Slots))-q.target.OtherHosts, 1)
}

// interval returns the mean time between two starts while requests wait.
func (q *Queue) interval() time.Duration {
	return time.Duration(float64(q.target.ProcessingTime) / q.parallel())
}

// countArrival counts the arrival of a request that can be answered within its objective.
func (q *Queue) countArrival(now time.Time) {
	q.arrivals, q.arrivedAt = q.arrivalsAt(now)+1, now
}

func (q *Queue) arrivalsAt(now time.Time) float64 {
	return q.arrivals * math.Exp2(-float64(now.Sub(q.arrivedAt))/(rateHalfLife*float64(q.interval())))
}

// overloaded reports whether more requests arrive that can be answered within their objective than
// the target can answer. The sum of a decaying count is its rate times the mean age, half-life / ln 2.
func (q *Queue) overloaded(now time.Time) bool {
	return q.arrivalsAt(now)*math.Ln2/rateHalfLife > overloadShare
}

// refuse refuses a request. Its caller is told to return when what waits and what was told to
// return before it has been served, one at a time, but within a part of the time that it has left.
func (q *Queue) refuse(t *Ticket, now time.Time) {
	t.state = refused
	interval := q.interval()
	free := now.Add(time.Duration(len(q.waiting)+1) * interval)
	if q.returnAt.Before(free) {
		q.returnAt = free
	}
	q.returnAt = q.returnAt.Add(interval)
	longest := time.Duration(maxReturnShare * float64(t.Deadline.Sub(now)))
	after := q.returnAt.Sub(now)
	if after > longest {
		// More callers return than can be served: spread over the later half of what is left.
		q.returnAt = now.Add(longest)
		after = time.Duration((0.5 + q.Random()/2) * float64(longest))
	}
	t.retryAfter = max(after, min(minRetryAfter, longest))
}
