package report

import (
	"slices"
	"time"
)

// keyHistory holds the attempts and the observed owners of one key.
type keyHistory struct {
	events []event
	owners []ownerObservation
}

// event is an attempt that shows whether the key had an owner. Its times are in
// nanoseconds since the Unix epoch.
type event struct {
	sent, end int64
	done      bool
}

// ownerObservation is the owner of the key according to a response.
type ownerObservation struct {
	at     int64
	epoch  uint64
	target string
}

// gap is a period without an owner, in nanoseconds since the Unix epoch. It is
// open if no success followed.
type gap struct {
	from, to int64
	open     bool
}

// unrelatedReasons are the reasons that do not show whether the key has an owner.
var unrelatedReasons = map[string]bool{
	"overloaded": true, "shed": true, "duplicate": true, "bad-request": true,
	"too-large": true, "unknown-service": true, "missing-key": true,
}

func (k *keyHistory) add(attempt Attempt) {
	if attempt.Outcome != Done && unrelatedReasons[attempt.Reason] {
		return
	}
	k.events = append(k.events, event{sent: attempt.SentNs, end: attempt.EndNs, done: attempt.Outcome == Done})
	if attempt.Outcome == Done && attempt.Target != "" {
		k.observeOwner(ownerObservation{at: attempt.EndNs, epoch: attempt.Epoch, target: attempt.Target})
	}
}

// observeOwner appends an observation if the target differs from the latest one
// and the epoch is not lower.
func (k *keyHistory) observeOwner(observation ownerObservation) {
	if len(k.owners) > 0 {
		latest := k.owners[len(k.owners)-1]
		if latest.target == observation.target || observation.epoch < latest.epoch {
			return
		}
	}
	k.owners = append(k.owners, observation)
}

// gaps returns the periods without an owner. An open gap ends at last.
func (k *keyHistory) gaps(last int64) []gap {
	slices.SortStableFunc(k.events, func(a, b event) int { return int(a.sent - b.sent) })
	var gaps []gap
	failedAt := int64(-1)
	for _, e := range k.events {
		switch {
		case !e.done && failedAt < 0:
			failedAt = e.sent
		case e.done && failedAt >= 0:
			gaps = append(gaps, gap{from: failedAt, to: e.end})
			failedAt = -1
		}
	}
	if failedAt >= 0 {
		gaps = append(gaps, gap{from: failedAt, to: last, open: true})
	}
	return gaps
}

func (s *serviceStats) churn() Churn {
	churn := Churn{Keys: len(s.keys)}
	for _, key := range s.keys {
		if changes := len(key.owners) - 1; changes > 0 {
			churn.Moved++
			churn.Changes += changes
		}
	}
	return churn
}

func (s *serviceStats) unavailable() Unavailable {
	result := Unavailable{LongestWait: milliseconds(s.longestWait)}
	last := s.lastEnd()
	for _, name := range sortedKeys(s.keys) {
		sum := 0.0
		for _, g := range s.keys[name].gaps(last) {
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

func (s *serviceStats) lastEnd() int64 {
	last := int64(0)
	for _, key := range s.keys {
		for _, e := range key.events {
			last = max(last, e.end)
		}
	}
	return last
}
