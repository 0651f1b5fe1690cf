package ratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// wantedDemand is the demand of the hosts that have a part of a limit, as a multiple of
	// what is dealt: a part is used in full only if requests come more often.
	wantedDemand = 2.0
	// burstTime and burstRequests are what all hosts may save up together: what is dealt in
	// a time, and a number of requests. Each host that has a part may save up one at least,
	// so that there are no more of these hosts.
	burstTime     = 400 * time.Millisecond
	burstRequests = 3.0
	// divideInterval is the time between two divisions of the same limit.
	divideInterval = 250 * time.Millisecond
	// enoughUse is the fraction of what is dealt that must meet enoughDemand times as much
	// demand. Otherwise it is divided anew.
	enoughUse    = 0.9
	enoughDemand = 1.4
	// reportMemory is how long the report of a host counts.
	reportMemory = 3 * time.Second
	// reserveTime is how long a part that was reduced is not dealt to others. It is longer
	// than a host waits for the next message, so that the host learns of it by then.
	reserveTime = takeOverDelay
	// rounding is the relative error of sums of parts.
	rounding = 1e-9
	// sharerPreference is the factor by which the demand of a host that has a part counts
	// more, so that parts don't change all the time.
	sharerPreference = 1.5
	// smallChange is the relative change of parts below which they stay as they are.
	smallChange = 0.2
)

// division is the division of the limit of one target.
type division struct {
	target string
	limit  Limit
	toldAt time.Time
	// dealt is set once the limit is divided.
	dealt bool
	// ended is set, from endedAt, when no host reports the limit any more.
	ended     bool
	endedAt   time.Time
	dividedAt time.Time
	// parts holds the parts by the number of their host; nil for none. count is the number
	// of parts.
	parts []*part
	count int
	// buffer is used by heaviest.
	buffer []*part
	// burst is what each host may save up.
	burst float64
	// version is that of the last change, commonVersion that of the last change for all
	// hosts.
	version       uint64
	commonVersion uint64
	// nextVersion returns the version of a new change.
	nextVersion func() uint64
}

// part is the part of one host.
type part struct {
	// host is the number of the host.
	host       int
	demand     float64
	reportedAt time.Time
	// rate is the part in requests a second; reserved is what the host may still use of
	// an earlier one until reservedUntil.
	rate          float64
	reserved      float64
	reservedUntil time.Time
	// wanted is the part that a division is about to give.
	wanted float64
	// version is that of the last change.
	version uint64
}

func newDivision(target string, nextVersion func() uint64) *division {
	return &division{target: target, nextVersion: nextVersion}
}

// held returns what the host may use at most.
func (p *part) held(now time.Time) float64 {
	if now.Before(p.reservedUntil) {
		return max(p.rate, p.reserved)
	}
	return p.rate
}

// weight returns how much the demand of the host counts.
func (p *part) weight() float64 {
	if p.rate > 0 {
		return sharerPreference * p.demand
	}
	return p.demand
}

// precedes reports whether a part goes before another one when a limit is divided.
func (p *part) precedes(other *part) bool {
	if a, b := p.weight(), other.weight(); a != b {
		return a > b
	}
	return p.host < other.host
}

// part returns the part of a host, or nil if it has none.
func (x *division) part(host int) *part {
	if host < 0 || host >= len(x.parts) {
		return nil
	}
	return x.parts[host]
}

// all calls visit with each part.
func (x *division) all(visit func(p *part) bool) {
	for _, p := range x.parts {
		if p != nil && !visit(p) {
			return
		}
	}
}

// add adds a part for a host that has none.
func (x *division) add(host int) *part {
	if missing := host + 1 - len(x.parts); missing > 0 {
		x.parts = append(x.parts, make([]*part, missing)...)
	}
	x.count++
	x.parts[host] = &part{host: host}
	return x.parts[host]
}

// remove removes the part of a host, if it has one.
func (x *division) remove(host int) {
	if x.part(host) != nil {
		x.parts[host] = nil
		x.count--
	}
}

func (x *division) addReport(host int, o Observation, now time.Time) {
	x.observe(o, now)
	p := x.part(host)
	if p == nil {
		p = x.add(host)
	}
	p.demand, p.reportedAt = o.Demand, now
	if o.Held <= p.rate*(1+rounding) {
		p.reservedUntil = time.Time{}
	}
	if o.Limit != x.limit {
		// The host has heard something older.
		x.change(p)
	}
}

func (x *division) observe(o Observation, now time.Time) {
	if x.ended {
		x.ended = false
		x.changeAll()
	}
	toldAt := now.Add(-o.Age)
	if !toldAt.After(x.toldAt) {
		return
	}
	x.toldAt = toldAt
	if x.limit != o.Limit {
		x.limit, x.dividedAt = o.Limit, time.Time{}
		x.changeAll()
	}
}

// change marks a part as changed.
func (x *division) change(p *part) {
	p.version = x.nextVersion()
	x.version = p.version
}

// changeAll marks what all hosts are to know as changed.
func (x *division) changeAll() {
	x.commonVersion = x.nextVersion()
	x.version = x.commonVersion
}

// isNew reports whether something has changed for a host since a version.
func (x *division) isNew(host int, since uint64) bool {
	if x.commonVersion > since {
		return true
	}
	p := x.part(host)
	return p != nil && p.version > since
}

func (x *division) share(host int, now time.Time) Share {
	share := Share{Target: x.target, Limit: x.limit, Age: now.Sub(x.toldAt)}
	if !x.limit.Named || !x.dealt || x.ended {
		return share
	}
	share.Dealt = true
	if p := x.part(host); p != nil && p.rate > 0 {
		share.PerSecond, share.Burst = p.rate, x.burstOf(p)
	}
	return share
}

// burstOf returns what a host may save up. A stated burst is divided like the rate.
func (x *division) burstOf(p *part) float64 {
	if x.limit.Burst > 0 {
		return x.limit.Burst * p.rate / x.limit.PerSecond
	}
	return x.burst
}

// forget removes the parts of hosts that no longer report.
func (x *division) forget(now time.Time) {
	oldest := now.Add(-reportMemory)
	for p := range x.all {
		if p.reportedAt.After(oldest) {
			continue
		}
		x.withdraw(p, now)
		if !now.Before(p.reservedUntil) {
			x.remove(p.host)
		}
	}
	if x.count == 0 && !x.ended {
		x.ended, x.endedAt = true, now
		x.changeAll()
	}
}

// withdraw takes the part of a host that no longer reports.
func (x *division) withdraw(p *part, now time.Time) {
	p.demand = 0
	if p.rate > 0 {
		p.reserved, p.reservedUntil, p.rate = p.held(now), now.Add(reserveTime), 0
		x.change(p)
	}
}

// isForgotten reports whether all hosts have been told of the end of the limit.
func (x *division) isForgotten(now time.Time) bool {
	if !x.limit.Named {
		return now.Sub(x.toldAt) > endMemory
	}
	return x.ended && now.Sub(x.endedAt) > endMemory
}

// divide deals a total in requests a second to the hosts with the most demand, in
// proportion to it.
func (x *division) divide(total float64, now time.Time) {
	if !x.limit.Named || x.ended {
		return
	}
	if !x.dealt {
		x.dealt = true
		x.changeAll()
	}
	if x.isUsed(total, now) {
		return
	}
	chosen, demand := x.sharers(total)
	for p := range x.all {
		p.wanted = 0
	}
	for _, p := range chosen {
		p.wanted = total * p.demand / demand
	}
	if x.isSettled(total, now) {
		return
	}
	x.setBurst(x.mostSaved(total) / float64(max(len(chosen), 1)))
	for p := range x.all {
		if p.wanted < p.rate {
			p.reserved, p.reservedUntil = p.held(now), now.Add(reserveTime)
			p.rate = p.wanted
			x.change(p)
		}
	}
	room := total - x.sumHeld(now)
	for _, p := range chosen {
		held := p.held(now)
		if rate := min(p.wanted, held+max(room, 0)); rate > p.rate {
			p.rate = rate
			room -= p.held(now) - held
			x.change(p)
		}
	}
}

// setBurst sets what each host with a part may save up.
func (x *division) setBurst(burst float64) {
	if x.burst == burst {
		return
	}
	x.burst = burst
	for p := range x.all {
		if p.rate > 0 {
			x.change(p)
		}
	}
}

// saved returns the number of requests that all hosts together may save up, unless the limit
// states less.
func saved(total float64) float64 { return burstTime.Seconds()*total + burstRequests }

// mostSaved returns the number of requests that all hosts together may save up while a total is
// dealt. It is less where the total is only a part of the limit, as others have another leader.
func (x *division) mostSaved(total float64) float64 {
	if x.limit.Burst > 0 {
		return max(x.limit.Burst*min(total/x.limit.PerSecond, 1), 1)
	}
	return saved(total)
}

// isUsed reports whether the parts meet demand and add up to no more than the total.
func (x *division) isUsed(total float64, now time.Time) bool {
	used := 0.0
	for p := range x.all {
		used += min(p.rate, p.demand/enoughDemand)
	}
	return used >= enoughUse*total && x.sumHeld(now) <= total*(1+rounding)
}

// isSettled reports whether no part would change much, and they add up to no more than the
// total.
func (x *division) isSettled(total float64, now time.Time) bool {
	for p := range x.all {
		if math.Abs(p.wanted-p.rate) > smallChange*max(p.wanted, p.rate) {
			return false
		}
	}
	return x.sumHeld(now) <= total*(1+rounding)
}

func (x *division) sumHeld(now time.Time) float64 {
	sum := 0.0
	for p := range x.all {
		sum += p.held(now)
	}
	return sum
}

// sharers returns the parts of the hosts with the most demand, and its sum: as many as have
// wantedDemand. The list is valid until the next call.
func (x *division) sharers(total float64) (chosen []*part, demand float64) {
	heaviest, n := x.heaviest(int(x.mostSaved(total))), 0
	for _, p := range heaviest {
		if demand >= wantedDemand*total {
			break
		}
		n++
		demand += p.demand
	}
	if x.limit.Burst > 0 {
		return dropLight(heaviest[:n], demand, x.mostSaved(total))
	}
	return heaviest[:n], demand
}

// dropLight leaves out the lightest sharers of which the part of what may be saved up would be less
// than one request, and returns the others with their demand.
func dropLight(heaviest []*part, demand, saved float64) ([]*part, float64) {
	for len(heaviest) > 1 {
		last := heaviest[len(heaviest)-1]
		if last.demand*saved >= demand {
			break
		}
		demand -= last.demand
		heaviest = heaviest[:len(heaviest)-1]
	}
	return heaviest, demand
}

// heaviest returns the n parts with the highest weight above zero, the highest first.
func (x *division) heaviest(n int) []*part {
	heaviest := x.buffer[:0]
	for p := range x.all {
		if p.demand <= 0 || len(heaviest) == n && !p.precedes(heaviest[n-1]) {
			continue
		}
		if len(heaviest) == n {
			heaviest = heaviest[:n-1]
		}
		i := len(heaviest)
		for i > 0 && p.precedes(heaviest[i-1]) {
			i--
		}
		heaviest = slices.Insert(heaviest, i, p)
	}
	x.buffer = heaviest
	return heaviest
}
