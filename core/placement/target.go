package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"pineturn/core/concurrency"
	"pineturn/core/owner"
	"pineturn/core/ratelimit"
)

const (
	// reportHalfLife is the time after which half of the requests of other
	// hosts in a target's last report are assumed to have ended.
	reportHalfLife = 250 * time.Millisecond
	// averageHalfLife is the report age at which the average of the target's own
	// reports and the mean of its service weigh the same in the load estimate.
	// reportWeight is the weight of one report in that average.
	averageHalfLife = 1500 * time.Millisecond
	reportWeight    = 0.3
	// processingTimeWeight is the weight of one response in the moving average of
	// a target's relative processing time. A quarter of it is the weight in the
	// mean of the service.
	processingTimeWeight = 0.12
	// coldFactor is the factor by which requests take longer at a target that
	// is still warming up after its start.
	coldFactor = 2.0
	// failureHalfLife is the half-life of the failure score.
	failureHalfLife = 1500 * time.Millisecond
	// maxFailureScore bounds the failure score, so that old failures don't
	// outweigh later successes.
	maxFailureScore = 6.0
	// ownerDrainPeriod is how long a draining target still receives requests for
	// the keys that it owns. No other target can run them until the keys have
	// moved.
	ownerDrainPeriod = 600 * time.Millisecond
	// ownerBackoff is how long a key owner receives no requests after the first one
	// that it shed. Each further consecutive one doubles it, up to
	// maxConsecutiveSheds.
	// Each backoff is randomized by 25% up or down.
	ownerBackoff        = 40 * time.Millisecond
	maxConsecutiveSheds = 5
	// initialProcessingTime is the mean processing time that is assumed for a
	// service before its first response.
	initialProcessingTime = 200 * time.Millisecond
)

// Target is a host's state for one target. It is guarded by the mutex of its Set.
type Target struct {
	entry Entry
	// warmEnd is the time at which the target's warm-up ends.
	warmEnd time.Time
	// inFlight is the number of this host's requests without a response.
	inFlight int
	// pending holds this host's requests without a response, the oldest first.
	pending []*Choice
	// waiting is the number of this host's requests that wait for capacity at the
	// target, the owner of their keys.
	waiting int
	// otherHostsLoad is the number of other hosts' requests, running and
	// waiting, at the time of the last report.
	otherHostsLoad float64
	reported       time.Time
	// averageOtherHostsLoad is the moving average of otherHostsLoad over the
	// reports.
	averageOtherHostsLoad float64
	// relativeTime is the moving average of the processing time per request
	// divided by the mean of the service.
	relativeTime float64
	// affinity is drawn at random, from 0 for a target that this host prefers to 1.
	affinity float64
	// learned is what was learned of the target.
	learned *concurrency.Estimator
	// failureScore is the sum of the weights of recent failures at
	// failureScoreTime. It decays exponentially.
	failureScore     float64
	failureScoreTime time.Time
	// drainingSince is the time at which an entry changed the target to
	// draining. It is zero if the first entry of its incarnation was draining: this
	// host can't tell how long ago that began.
	drainingSince time.Time
	// backoffUntil is the end of the current backoff, restUntil that of the time for which
	// the target has asked for no requests.
	backoffUntil time.Time
	restUntil    time.Time
	// consecutiveSheds is the number of consecutive requests that the target, as the
	// full owner of their keys, refused or ended by closing the connection. It does
	// not exceed maxConsecutiveSheds.
	consecutiveSheds int
	// pacer keeps this host within its part of the limit that the target has named.
	pacer ratelimit.Pacer
	cold  coldState
	// ownerStats covers the responses to requests for the target's own keys since
	// the last call of TakeProcessingStats.
	ownerStats owner.ProcessingStats
}

// Entry returns the latest entry of the target.
func (t *Target) Entry() Entry { return t.entry }

// otherHostsLoadAt estimates the number of other hosts' requests at the target.
// With the age of the last report, the estimate moves from that report to the
// average of the target's reports and then to mean, the mean of the service. The
// average keeps the estimate of a target with a hot key above that of the others
// when its last report is old. reportHalfLife and averageHalfLife are the ages of a
// report at which half of either step is done.
func (t *Target) otherHostsLoadAt(now time.Time, mean float64, reportHalfLife, averageHalfLife time.Duration) float64 {
	if t.reported.IsZero() {
		return mean
	}
	age := now.Sub(t.reported)
	averageWeight := decay(age, averageHalfLife)
	base := t.averageOtherHostsLoad*averageWeight + mean*(1-averageWeight)
	lastWeight := decay(age, reportHalfLife)
	return t.otherHostsLoad*lastWeight + base*(1-lastWeight)
}

// report records the number of other hosts' requests at the target.
func (t *Target) report(others float64, now time.Time) {
	if t.reported.IsZero() {
		t.averageOtherHostsLoad = others
	}
	t.averageOtherHostsLoad += reportWeight * (others - t.averageOtherHostsLoad)
	t.otherHostsLoad, t.reported = others, now
}

func (t *Target) failureScoreAt(now time.Time) float64 {
	return t.failureScore * decay(now.Sub(t.failureScoreTime), failureHalfLife)
}

func (t *Target) addFailure(now time.Time, weight float64) {
	t.failureScore = min(t.failureScoreAt(now)+weight, maxFailureScore)
	t.failureScoreTime = now
}

// processingTimeFactor returns the expected processing time of a request at the
// target, divided by the mean of the service and with the warm-up included.
func (t *Target) processingTimeFactor(now time.Time) float64 {
	relativeTime := t.relativeTime
	if now.Before(t.warmEnd) {
		relativeTime *= coldFactor
	}
	return relativeTime
}

// inOwnerBackoff reports whether the target must not receive a request as the
// owner of its key. After a shed request or a lost connection it receives none
// until the backoff ends, then one at a time from this host until it responds to
// one without an error. Otherwise the full owner of a hot key would reset the
// connections of many hosts.
func (t *Target) inOwnerBackoff(now time.Time) bool {
	return t.consecutiveSheds > 0 && (now.Before(t.backoffUntil) || t.inFlight > 0)
}

// recordOwnerShed starts a backoff after the target, as the owner of a key, had no
// free capacity.
func (t *Target) recordOwnerShed(now time.Time) {
	t.consecutiveSheds = min(t.consecutiveSheds+1, maxConsecutiveSheds)
	backoff := float64(ownerBackoff<<(t.consecutiveSheds-1)) * (0.75 + rand.Float64()/2)
	t.backoffUntil = now.Add(time.Duration(backoff))
}

// decay returns the factor by which a value with the given half-life decays in
// age: 0.5 after one half-life.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-math.Ln2 * float64(age) / float64(halfLife))
}
