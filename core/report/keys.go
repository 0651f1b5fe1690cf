package report

import (
	"slices"
	"time"
)

// keyHistory is what was seen of one key.
type keyHistory struct {
	events []event
	owners []owner
}

// event is one attempt that shows whether the key had an owner.
type event struct {
	sent, end int64
	ok        bool
}

// owner is one sighting of the key's target.
type owner struct {
	at     int64
	epoch  uint64
	target string
}

// gap is a time without an owner.
type gap struct {
	from, to int64
	open     bool
}

// overload lists the reasons that say nothing of the key's owner.
var overload = map[string]bool{
	"overloaded": true, "shed": true, "duplicate": true, "bad-request": true,
	"too-large": true, "unknown-service": true, "missing-key": true,
}

func (k *keyHistory) add(attempt Attempt) {
	if attempt.Outcome != Done && overload[attempt.Reason] {
		return
	}
	k.events = append(k.events, event{sent: attempt.SentNs, end: attempt.EndNs, ok: attempt.Outcome == Done})
	if attempt.Outcome == Done && attempt.Target != "" {
		k.see(owner{at: attempt.EndNs, epoch: attempt.Epoch, target: attempt.Target})
	}
}

// see keeps the sighting when it differs from the newest one.
func (k *keyHistory) see(seen owner) {
	if len(k.owners) > 0 {
		newest := k.owners[len(k.owners)-1]
		if newest.target == seen.target || seen.epoch < newest.epoch {
			return
		}
	}
	k.owners = append(k.owners, seen)
}

// gaps returns the times without an owner; one that is still open ends at
// last.
func (k *keyHistory) gaps(last int64) []gap {
	slices.SortStableFunc(k.events, func(a, b event) int { return int(a.sent - b.sent) })
	var gaps []gap
	failedAt := int64(-1)
	for _, e := range k.events {
		switch {
		case !e.ok && failedAt < 0:
			failedAt = e.sent
		case e.ok && failedAt >= 0:
			gaps = append(gaps, gap{from: failedAt, to: e.end})
			failedAt = -1
		}
	}
	if failedAt >= 0 {
		gaps = append(gaps, gap{from: failedAt, to: last, open: true})
	}
	return gaps
}

func (t *tally) churn() Churn {
	churn := Churn{Keys: len(t.keys)}
	for _, key := range t.keys {
		if changes := len(key.owners) - 1; changes > 0 {
			churn.Moved++
			churn.Changes += changes
		}
	}
	return churn
}

func (t *tally) unavailable() Unavailable {
	result := Unavailable{LongestWait: milliseconds(t.wait)}
	last := t.lastEnd()
	for _, name := range sortedKeys(t.keys) {
		sum := 0.0
		for _, g := range t.keys[name].gaps(last) {
			length := milliseconds(time.Duration(g.to - g.from))
			sum += length
			result.Gaps++
			result.LongestGap = max(result.LongestGap, length)
			if g.open {
				result.Open++
			}
		}
		if sum == 0 {
			continue
		}
		result.Keys++
		result.Total += sum
		if sum > result.Worst {
			result.Worst, result.WorstKey = sum, name
		}
	}
	return result
}

func (t *tally) lastEnd() int64 {
	last := int64(0)
	for _, key := range t.keys {
		for _, e := range key.events {
			last = max(last, e.end)
		}
	}
	return last
}
