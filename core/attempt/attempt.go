// Package attempt defines the retry policy of io/proxy for one request: after each
// send it decides whether the response is forwarded, the request is retried, or the
// caller receives an error. How many requests of a host may be retried is left to a
// budget: package budget for io/proxy, package retry for package dispatch.
package attempt

import (
	"math/rand/v2"
	"time"
)

// Request holds the properties of a request on which the policy depends.
type Request struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxAttempts is the highest number of targets to which the request is sent.
	// Targets that it could not reach don't count.
	MaxAttempts int
	// OneTarget requests can be run only by the target that owns their key.
	OneTarget bool
	// Objective is the latency objective: the response time that the operator
	// aims for. Only a response within this time has its full value.
	Objective time.Duration
}

// Result is the result of a send.
type Result int

// Results of a send.
const (
	// Complete means that the target's own response was received in full.
	Complete Result = iota
	// Failed means that the target itself responded that the request failed.
	Failed
	// NotRun means that the target did not run the request and will not run it.
	NotRun
	// WrongTarget means the same, because the target does not own the
	// request's key.
	WrongTarget
	// Unsent means that no byte of the request reached the target.
	Unsent
	// Unknown means that the request may have run and that its response was lost.
	Unknown
)

// NotRun reports whether it is certain that the target did not run the request.
func (r Result) NotRun() bool { return r == NotRun || r == WrongTarget || r == Unsent }

// Outcome is the outcome of a send.
type Outcome struct {
	Result Result
	// TargetFull reports that the target had no free capacity for the request.
	TargetFull bool
}

// Step is the step that follows a send.
type Step int

// The steps after a send.
const (
	// Deliver forwards the response to the caller.
	Deliver Step = iota
	// Retry sends the request again, to another target.
	Retry
	// Refuse reports to the caller that the request was not run.
	Refuse
	// ReportUnknown reports to the caller that the outcome is unknown.
	ReportUnknown
)

// maxUnsent is the number of unreachable targets after which a request is given up, maxUnsentToOwner
// the number of attempts to reach the only target that may run it. Targets that have ended stay in
// the lists for seconds, several at a time.
const (
	maxUnsent        = 10
	maxUnsentToOwner = 4
)

// minTimeForRetry is the remaining time of a request that a retry must exceed.
const minTimeForRetry = 30 * time.Millisecond

// Progress is the state of a request across its sends.
type Progress struct {
	sends      int
	unsent     int
	mayHaveRun bool
}

// Sends returns the number of sends, without those that did not reach a target.
func (p *Progress) Sends() int { return p.sends }

// MayHaveRun reports whether a target may have run the request.
func (p *Progress) MayHaveRun() bool { return p.mayHaveRun }

// RecordSend records a send. It precedes the call of After for that send.
func (p *Progress) RecordSend() { p.sends++ }

// RecordSends adds the sends of another host that relayed the request, or to which it was
// relayed.
func (p *Progress) RecordSends(n int) { p.sends += max(n, 0) }

// After returns the step that follows a send with the given outcome; left is the
// remaining time of the request. After calls spend, which takes one retry from the
// retry budget and reports whether there was one, only if every other condition
// allows a retry. Retries of unsent requests don't use the budget.
func (p *Progress) After(req Request, outcome Outcome, left time.Duration, spend func() bool) Step {
	switch outcome.Result {
	case Complete:
		return Deliver
	case Unsent:
		p.sends--
		p.unsent++
		most := maxUnsent
		if req.OneTarget {
			most = maxUnsentToOwner
		}
		if p.unsent < most && left > minTimeForRetry {
			return Retry
		}
		return p.failureStep()
	case Unknown, Failed:
		p.mayHaveRun = true
		if req.Idempotent && mayRepeat(req, outcome) && p.canRetry(req, left) && spend() {
			return Retry
		}
		if outcome.Result == Failed {
			return Deliver
		}
		return ReportUnknown
	case WrongTarget:
		if p.canRetry(req, left) && spend() {
			return Retry
		}
		return p.failureStep()
	default:
		if mayRepeat(req, outcome) && p.canRetry(req, left) && spend() {
			return Retry
		}
		return p.failureStep()
	}
}

// SendBeside reports whether a request may be sent again beside a send without a response, and records if so that a
// target may have run it. It calls spend as After does.
func (p *Progress) SendBeside(req Request, left time.Duration, spend func() bool) bool {
	again := req.Idempotent && p.canRetry(req, left) && spend()
	p.mayHaveRun = p.mayHaveRun || again
	return again
}

// mayRepeat reports whether a further send may end better. The owner of a key
// receives the same request again only if it had capacity: one that refuses or loses
// part of its requests may run it, while a full one would refuse it again.
func mayRepeat(req Request, outcome Outcome) bool { return !req.OneTarget || !outcome.TargetFull }

func (p *Progress) canRetry(req Request, left time.Duration) bool {
	return p.sends < req.MaxAttempts && left > minTimeForRetry
}

func (p *Progress) failureStep() Step {
	if p.mayHaveRun {
		return ReportUnknown
	}
	return Refuse
}

// NoTarget returns the step that follows if there is no target for the request.
func (p *Progress) NoTarget() Step { return p.failureStep() }

const (
	// hedgeFactor is the multiple of the expected latency after which a response
	// counts as late.
	hedgeFactor = 3.0
	// minHedgeFraction is the shortest hedge delay, as a fraction of the
	// objective.
	minHedgeFraction = 0.45
)

// HedgeDelay returns how long to wait for a response before the request is hedged,
// that is, also sent to a second target, and whether to hedge it at all. Hedging
// covers targets that freeze, become slow or lose responses. A request is not hedged
// if the remaining time, left, is too short for the second response.
func HedgeDelay(req Request, expected, left time.Duration) (time.Duration, bool) {
	if !req.Idempotent || req.MaxAttempts < 2 {
		return 0, false
	}
	delay := max(time.Duration(hedgeFactor*float64(expected)), time.Duration(minHedgeFraction*float64(req.Objective)))
	return delay, delay+expected/2 < left
}

// QueueTimeout returns how long a request may wait at the host for capacity at a
// target: 40% of its objective, but at most a third of the remaining time, so that
// the request can still be served.
func QueueTimeout(req Request, left time.Duration) time.Duration {
	return min(req.Objective*2/5, left/3)
}

const (
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfterFraction is the longest retry delay, as a fraction of the
	// remaining time of the caller's request.
	maxRetryAfterFraction = 0.3
)

// RetryAfter returns the delay after which the caller of a refused request should
// retry. It is the time until the backlog is processed, randomized by 25% up or
// down so that callers that were refused at the same time don't retry at the same
// time.
func RetryAfter(backlog, left time.Duration) time.Duration {
	spread := 0.75 + rand.Float64()/2
	after := time.Duration(float64(max(backlog, minRetryAfter)) * spread)
	return min(after, time.Duration(maxRetryAfterFraction*float64(left)))
}

// RetryNotBefore is like RetryAfter for a request that can't be served before a known time:
// callers come back after it, spread over half as long again.
func RetryNotBefore(wait, left time.Duration) time.Duration {
	spread := 1 + rand.Float64()/2
	after := time.Duration(float64(max(wait, minRetryAfter)) * spread)
	return min(after, time.Duration(maxRetryAfterFraction*float64(left)))
}
