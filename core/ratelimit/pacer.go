package ratelimit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// fallbackFraction is the fraction of a limit that all hosts use together while they
	// have no parts of it.
	fallbackFraction = 0.3
	// soleFraction is the same for a host that is alone, or that sends for all others. Two
	// hosts that disagree on which of them does stay within the limit.
	soleFraction = 0.5
	// longestWait is the wait for a request at a target that takes none.
	longestWait = time.Hour
	// yieldTime is how long requests leave what a target takes to those of a higher
	// priority, after one of these was refused.
	yieldTime = time.Second
	// demandHalfLife is the half-life of the average demand, minDemandTime the shortest
	// time over which it is taken.
	demandHalfLife = 8 * time.Second
	minDemandTime  = 500 * time.Millisecond
	// minReportedDemand is the demand in requests a second from which a host always reports
	// a limit.
	minReportedDemand = 0.05
	// idleReporters is the mean number of hosts that report a limit at a time, if none has
	// demand.
	idleReporters = 6.0
)

// Pacer keeps one host within its part of the limit of a target. The zero value has no limit.
// It is not safe for concurrent use.
type Pacer struct {
	// Random returns a random number in [0, 1), as rand.Float64 does if it is nil.
	Random func() float64

	limit Limit
	// toldAt is the time after which the target said so.
	toldAt time.Time
	// changedAt is the time at which a response to this host last changed the limit.
	changedAt time.Time
	// endedAt is the time at which this host learned that an earlier limit has ended; zero
	// if there was none.
	endedAt time.Time
	// share is this host's part in requests a second until shareEnd, and burst the number
	// of requests for which it is kept. shared reports that the part counts.
	share    float64
	burst    float64
	shareEnd time.Time
	shared   bool
	// tokens is the number of requests that may be sent, as of filledAt.
	tokens   float64
	filledAt time.Time
	// demand is the decayed number of requests, as of demandAt, since demandSince.
	demand      float64
	demandAt    time.Time
	demandSince time.Time
	// refusedRank is the highest priority that was refused within yieldTime before
	// refusedAt; zero is the highest.
	refusedRank int
	refusedAt   time.Time
}

// Limit returns the limit of the target as last known.
func (p *Pacer) Limit() Limit { return p.limit }

// Observe records what a target has said of its limit in the response to a request that was
// sent at a time. What it said earlier has no effect. It reports whether the limit has
// changed.
func (p *Pacer) Observe(limit Limit, sentAt, now time.Time) bool {
	changed := p.Learn(limit, sentAt, now)
	if changed {
		p.changedAt = now
	}
	return changed
}

// Learn is like Observe, for what a target has said to another host after a time.
func (p *Pacer) Learn(limit Limit, toldAt, now time.Time) bool {
	if !toldAt.After(p.toldAt) {
		return false
	}
	p.toldAt = toldAt
	if limit == p.limit {
		return false
	}
	if !p.limit.Named {
		p.demand, p.demandSince = 0, now
		p.fallBack(now)
	}
	if !limit.Named {
		p.endedAt = now
	}
	p.limit = limit
	return true
}

// fallBack ends this host's part. The phase is random, so that hosts without a part don't
// send at the same time.
func (p *Pacer) fallBack(now time.Time) {
	p.shared, p.tokens, p.filledAt = false, p.random(), now
}

func (p *Pacer) random() float64 {
	if p.Random == nil {
		return rand.Float64()
	}
	return p.Random()
}

// SetShare sets this host's part of the limit, as dealt by the leader at a time.
func (p *Pacer) SetShare(share Share, dealtAt, now time.Time) {
	p.fill(now, 1)
	if !p.shared {
		p.tokens = 0
	}
	p.shared, p.share, p.burst, p.shareEnd = true, share.PerSecond, max(share.Burst, 1), dealtAt.Add(shareTime)
	p.tokens = min(p.tokens, p.burst)
}

// Rate returns the number of requests a second that this host may send: its part of the
// limit or, without one, that of the fallback, with the given number of hosts.
func (p *Pacer) Rate(now time.Time, hosts int) float64 {
	if p.shared && now.Before(p.shareEnd) {
		return p.share
	}
	if hosts <= 1 {
		return soleFraction * p.limit.PerSecond
	}
	return fallbackFraction * p.limit.PerSecond / float64(hosts)
}

// fill adds the tokens since the last call.
func (p *Pacer) fill(now time.Time, hosts int) {
	if p.shared && !now.Before(p.shareEnd) {
		p.fallBack(now)
	}
	if !now.After(p.filledAt) {
		return
	}
	burst := 1.0
	if p.shared {
		burst = p.burst
	}
	p.tokens = min(p.tokens+p.Rate(now, hosts)*now.Sub(p.filledAt).Seconds(), burst)
	p.filledAt = now
}

// Wait returns the time until a request may be sent to the target, zero for now.
func (p *Pacer) Wait(now time.Time, hosts int) time.Duration {
	if !p.limit.Named {
		return 0
	}
	p.fill(now, hosts)
	if p.tokens >= 1 {
		return 0
	}
	rate := p.Rate(now, hosts)
	if wait := (1 - p.tokens) / rate; wait < longestWait.Seconds() {
		return time.Duration(wait * float64(time.Second))
	}
	return longestWait
}

// Take counts a request that is sent to the target.
func (p *Pacer) Take() {
	if p.limit.Named {
		p.tokens--
	}
}

// Return takes back a request that was counted and not sent.
func (p *Pacer) Return() {
	if p.limit.Named {
		p.tokens++
	}
}

// RecordRefused records that a request of a priority was not sent because of the limit.
func (p *Pacer) RecordRefused(rank int, now time.Time) {
	if !p.Yields(rank, now) {
		p.refusedRank, p.refusedAt = rank, now
	}
}

// spareTokens is the number of saved requests from which one of a lower priority may be sent: one is
// left then for the others.
const spareTokens = 2

// Yields reports whether a request of a priority leaves what the target takes to others of
// a higher one. Where the limit states what may be saved up, it does not if enough was, at the last
// call of Wait.
func (p *Pacer) Yields(rank int, now time.Time) bool {
	if p.limit.Burst > 0 && p.tokens >= spareTokens {
		return false
	}
	return p.limit.Named && rank > p.refusedRank && !p.refusedAt.IsZero() && now.Sub(p.refusedAt) < yieldTime
}

// RecordDemand counts a request that this host would send to the target without a limit.
func (p *Pacer) RecordDemand(now time.Time) {
	p.demand = p.decayedDemand(now) + 1
	p.demandAt = now
}

func (p *Pacer) decayedDemand(now time.Time) float64 {
	return p.demand * math.Exp2(-now.Sub(p.demandAt).Seconds()/demandHalfLife.Seconds())
}

// Demand returns the average demand in requests a second.
func (p *Pacer) Demand(now time.Time) float64 {
	halfLives := max(now.Sub(p.demandSince), minDemandTime).Seconds() / demandHalfLife.Seconds()
	// The number of requests of a steady demand of one a second.
	steady := demandHalfLife.Seconds() / math.Ln2 * (1 - math.Exp2(-halfLives))
	return p.decayedDemand(now) / steady
}

// Observation returns what this host knows of the limit of a target, and uses of it as one of
// a number of hosts. It returns false if the target has named none, or has ended it long ago,
// or if the leader hears enough of it from others: without demand for it, only some hosts at
// random report a limit.
func (p *Pacer) Observation(target string, now time.Time, hosts int) (Observation, bool) {
	if !p.isReported(now, hosts) {
		return Observation{}, false
	}
	return Observation{Target: target, Limit: p.limit, Age: now.Sub(p.toldAt), Demand: p.Demand(now), Held: p.Rate(now, hosts)}, true
}

func (p *Pacer) isReported(now time.Time, hosts int) bool {
	switch {
	case !p.limit.Named:
		return !p.endedAt.IsZero() && now.Sub(p.endedAt) <= endMemory
	case p.Demand(now) >= minReportedDemand, p.shared && p.share > 0:
		return true
	case !p.changedAt.IsZero() && now.Sub(p.changedAt) < reportMemory:
		return true
	}
	return p.random()*float64(hosts) < idleReporters
}
