package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"pineturn/core/owner"
)

const (
	// reportHalfLife is the time after which half of a target's reported work
	// for other hosts is taken to be done.
	reportHalfLife = 250 * time.Millisecond
	// usualHalfLife is the time in which the target's usual work gives way to
	// the mean of its service, and usualWeight the weight of one report in it.
	usualHalfLife = 1500 * time.Millisecond
	usualWeight   = 0.3
	// speedWeight is the weight of one answer in a target's learned time.
	speedWeight = 0.12
	// coldFactor is how much longer work takes at a target that has just
	// started.
	coldFactor = 2.0
	// troubleHalfLife is the time in which the memory of failures halves.
	troubleHalfLife = 1500 * time.Millisecond
	// troubleLimit keeps old failures from outweighing later successes.
	troubleLimit = 6.0
	// ownerDrain is how long a leaving target still gets requests for keys that
	// it owns, which no other target can run until they have moved.
	ownerDrain = 600 * time.Millisecond
	// ownerPause is how long an owner of keys is left alone after its first
	// refusal; each further one in a row doubles it, up to mostRefusals.
	ownerPause   = 40 * time.Millisecond
	mostRefusals = 5
	// meanWork is taken for the work of a request before any was answered.
	meanWork = 200 * time.Millisecond
)

// Target is what a host knows of one target. It is guarded by its set.
type Target struct {
	entry   Entry
	warmEnd time.Time
	// inFlight are requests of this host that have no answer yet.
	inFlight int
	// others is the work for other hosts at the time of the last report.
	others   float64
	reported time.Time
	// usual is the mean of the last reports.
	usual float64
	// pace is the learned time of a request over the mean of its service.
	pace float64
	// trouble counts recent failures, halved by time.
	trouble   float64
	troubleAt time.Time
	// drainSeen is when the target was first known to leave.
	drainSeen time.Time
	// closedUntil is the time until which the target is not tried.
	closedUntil time.Time
	// refusals counts the requests in a row that the target, as the owner of
	// their keys, has refused or broken off.
	refusals int
	// owned is what requests for its keys took since it was last asked for.
	owned owner.ProcessingStats
}

// Entry returns what the target last said of itself.
func (t *Target) Entry() Entry { return t.entry }

// othersNow estimates the work that other hosts have at the target: its last
// report, then as that ages what it has reported lately, and at last the mean of
// its service. A target with a busy key goes on having more than the others.
func (t *Target) othersNow(now time.Time, mean float64) float64 {
	if t.reported.IsZero() {
		return mean
	}
	age := now.Sub(t.reported)
	usual := halving(age, usualHalfLife)
	base := t.usual*usual + mean*(1-usual)
	keep := halving(age, reportHalfLife)
	return t.others*keep + base*(1-keep)
}

// report notes the work that other hosts have at the target.
func (t *Target) report(others float64, now time.Time) {
	if t.reported.IsZero() {
		t.usual = others
	}
	t.usual += usualWeight * (others - t.usual)
	t.others, t.reported = others, now
}

func (t *Target) troubleNow(now time.Time) float64 {
	return t.trouble * halving(now.Sub(t.troubleAt), troubleHalfLife)
}

func (t *Target) addTrouble(now time.Time, amount float64) {
	t.trouble = min(t.troubleNow(now)+amount, troubleLimit)
	t.troubleAt = now
}

// slowness is the time of a request here over the mean of the service.
func (t *Target) slowness(now time.Time) float64 {
	pace := t.pace
	if now.Before(t.warmEnd) {
		pace *= coldFactor
	}
	return pace
}

// full reports whether the owner of keys has lately refused: it is left alone for
// a while, then tried with one request at a time. It answers hot keys, whose
// owner would otherwise reset the connections of many hosts.
func (t *Target) full(now time.Time) bool {
	return t.refusals > 0 && (now.Before(t.closedUntil) || t.inFlight > 0)
}

// refused notes that the owner of keys had no room.
func (t *Target) refused(now time.Time) {
	t.refusals = min(t.refusals+1, mostRefusals)
	pause := float64(ownerPause<<(t.refusals-1)) * (0.75 + rand.Float64()/2)
	t.closedUntil = now.Add(time.Duration(pause))
}

func halving(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
