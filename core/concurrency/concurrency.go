// Package concurrency learns how many requests each target takes well: the number in progress
// up to which it stays fast, and how long it takes for one. It does no I/O.
//
// It answers the load pattern of a service whose targets differ in speed, of which some slow
// down long before they are full, and others change while they are in use. Each host learns
// alone, from few requests to each target.
package concurrency

import (
	"math"
	"time"
)

// Estimate is what is known of a target at one time.
type Estimate struct {
	// Limit is the number of requests in progress at the target, running and waiting, up to
	// which a further one does not make it slower than its speed and its slots explain.
	Limit float64
	// ProcessingTime is how long the target takes for a request that does not wait.
	ProcessingTime time.Duration
	// Known reports that the estimate comes from enough responses. Otherwise it is what the
	// slots of the target and the mean of its service say.
	Known bool
}

// Sample is a response of a target.
type Sample struct {
	// InProgress is the number of requests at the target when the request was sent,
	// itself included.
	InProgress float64
	// Took is the time to the response.
	Took time.Duration
	// Slowdown is how many times as long as usual work took on the target's machine, as it
	// says, 0 if unknown.
	Slowdown float64
	// Refused reports that the target refused the request because it was full.
	Refused bool
}

const (
	// slowSamples and fastSamples are the numbers of responses after which the weight of an
	// earlier one has halved, in the usual estimate of a speed and in the one that notices
	// changes. slowHalfLife and fastHalfLife are the times after which it has halved as well.
	slowSamples  = 30.0
	fastSamples  = 3.0
	slowHalfLife = 15 * time.Second
	fastHalfLife = time.Second
	// priorSamples is the number of responses that the mean of the service counts as.
	priorSamples = 2.0
	// minKnownSamples is the number of responses from which a target is known.
	minKnownSamples = 4.0
	// changeErrors is the number of standard errors, and minChange the least logarithm of
	// the ratio, by which recent responses must differ from the usual ones to replace them.
	changeErrors = 3.5
	minChange    = 0.3
	// minChangeSamples is the number of recent responses from which they can do so: a few
	// that are slow by chance are no change.
	minChangeSamples = 2.0
	// outlierSpreads bounds how far a response counts as off the estimate, in spreads.
	outlierSpreads = 2.5
	// slowdownHalfLife is the age at which what a target says of its machine has lost half
	// of its weight. It changes many times a second.
	slowdownHalfLife = 200 * time.Millisecond
	// maxRelativeTime and its inverse bound the relative processing time of a target.
	maxRelativeTime = 20.0
)

// Estimator learns from the responses of one incarnation of a target. It is not safe for
// concurrent use.
type Estimator struct {
	service *Service
	slots   float64
	// usual and recent are the logarithms of the processing times, relative to the service.
	usual, recent average
	// relativeTime is the processing time divided by the mean of the service.
	relativeTime float64
	// atLoad holds how the processing time depends on the load.
	atLoad curve
	// loadLimit is the limit per slot that atLoad shows.
	loadLimit float64
	// slowdown is the last one that the target has said, at a time.
	slowdown     float64
	slowdownTime time.Time
	// refusedAt is the number in progress at which the target refused a request last.
	refusedAt   float64
	refusedTime time.Time
	updated     time.Time
}

// New returns the estimator of a target with a number of slots.
func New(slots int, service *Service) *Estimator {
	return &Estimator{service: service, slots: float64(max(slots, 1)), relativeTime: 1, loadLimit: maxDepth}
}

// Record records a response.
func (e *Estimator) Record(sample Sample, now time.Time) {
	if sample.Slowdown > 0 {
		e.slowdown, e.slowdownTime = sample.Slowdown, now
		e.service.slowdown.add(sample.Slowdown, 1, serviceSamples)
	}
	if sample.Refused {
		e.refusedAt, e.refusedTime = sample.InProgress, now
		return
	}
	load := loadIndex(sample.InProgress / e.slots)
	measured, weight := e.measure(sample)
	byLoad := e.offByLoad(load)
	e.service.record(measured-byLoad, weight)
	e.decay(now)
	off := e.add(measured-byLoad-e.service.log.mean(), weight)
	e.atLoad[load].add(byLoad+off, 1, curveSamples)
	e.service.atLoad[load].add(byLoad+off, 1, curveSamples)
	e.loadLimit = e.learnLimit()
}

// measure returns the logarithm of the processing time that a response shows, and its weight. What
// the wait took away is less certain the longer it was, and what runs on a slowed machine says
// less of the target.
func (e *Estimator) measure(sample Sample) (measured, weight float64) {
	depth := min(max(sample.InProgress/e.slots, 1), maxDepth)
	slowdown := max(sample.Slowdown, 1)
	seconds := max(sample.Took, time.Millisecond).Seconds() / depth
	return math.Log(seconds) - slowdownShare*math.Log(slowdown), 1 / (depth * slowdown)
}

// add adds a processing time relative to the service, as a logarithm, and returns how far it was
// off the estimate.
func (e *Estimator) add(relative, weight float64) (off float64) {
	usual := math.Log(e.relativeTime)
	bound := outlierSpreads * e.service.spread
	off = min(max(relative-usual, -bound), bound)
	e.usual.add(usual+off, weight, slowSamples)
	e.recent.add(usual+off, weight, fastSamples)
	if e.changed() {
		e.usual = e.recent
	}
	e.setRelativeTime()
	e.service.recordOff(off, weight)
	return off
}

// changed reports whether recent responses differ from the usual ones by more than chance.
func (e *Estimator) changed() bool {
	if e.recent.weight < minChangeSamples || e.usual.weight <= e.recent.weight {
		return false
	}
	off := math.Abs(e.recent.mean() - e.usual.mean())
	return off > max(minChange, changeErrors*e.service.spread/math.Sqrt(2*e.recent.weight))
}

// decay lets the earlier responses lose weight with time.
func (e *Estimator) decay(now time.Time) {
	if elapsed := now.Sub(e.updated); !e.updated.IsZero() && elapsed > 0 {
		e.usual.decay(elapsed, slowHalfLife)
		e.recent.decay(elapsed, fastHalfLife)
		e.atLoad.decay(elapsed)
	}
	e.updated = now
}

func (e *Estimator) setRelativeTime() {
	relative := math.Exp(e.usual.sum / (e.usual.weight + priorSamples))
	e.relativeTime = min(max(relative, 1/maxRelativeTime), maxRelativeTime)
}

// Estimate returns what is known now. Without responses for long, it returns to what is known
// of the service.
func (e *Estimator) Estimate(now time.Time) Estimate {
	if elapsed := now.Sub(e.updated); elapsed > slowHalfLife/8 && e.usual.weight > 0 {
		e.decay(now)
		e.setRelativeTime()
	}
	processingTime := float64(e.service.ProcessingTime()) * e.relativeTime * e.slowdownAt(now)
	return Estimate{Limit: e.limit(now), Known: e.usual.weight >= minKnownSamples, ProcessingTime: time.Duration(processingTime)}
}

// slowdownAt returns how many times as long as on average work takes now at the target's
// machine, as far as the age of what it said allows.
func (e *Estimator) slowdownAt(now time.Time) float64 {
	age := now.Sub(e.slowdownTime)
	if e.slowdown == 0 || age > 5*slowdownHalfLife {
		return 1
	}
	weight := math.Exp(-math.Ln2 * float64(age) / float64(slowdownHalfLife))
	return 1 + weight*(e.slowdown/e.service.slowdown.mean()-1)
}
