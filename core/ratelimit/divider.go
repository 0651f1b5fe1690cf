package ratelimit

import (
	"slices"
	"strings"
	"sync"
	"time"

	"pineturn/core/hostcount"
)

const (
	// minDealt is what is dealt of a limit of zero, in requests a second: only a response
	// shows the end of it.
	minDealt = 0.25
	// takeOverDelay is the time from the begin of a leadership to the first parts: by then
	// those of the leader before it have ended.
	takeOverDelay = shareTime + 500*time.Millisecond
)

// Divider divides the limits of targets among the hosts, at the leader. It is safe for
// concurrent use.
type Divider struct {
	hosts *hostcount.Counter

	mu sync.Mutex
	// members holds the hosts that have reported lately, and free the numbers of hosts that
	// have left.
	members          map[string]*member
	membersCheckedAt time.Time
	free             []int
	targets          map[string]*division
	// sorted holds the divisions by target.
	sorted  []*division
	leading bool
	// term counts the leaderships of this host.
	term int
	// dealFrom is the time from which parts are dealt.
	dealFrom time.Time
	// version counts the changes of what hosts are to know, from 1.
	version uint64
}

// member is a host that reports, with the number by which divisions know it.
type member struct {
	number     int
	reportedAt time.Time
}

// noMember is the number of hosts that have not reported.
const noMember = -1

// Told is what a host has been told on one link: all changes up to a version in a term of
// the Divider. The zero value has been told nothing.
type Told struct {
	term    int
	version uint64
}

// NewDivider returns a divider for the hosts that a counter counts.
func NewDivider(hosts *hostcount.Counter) *Divider {
	return &Divider{hosts: hosts, members: make(map[string]*member), targets: make(map[string]*division), version: 1}
}

// SetLeading records whether this host leads. Only a leader deals parts.
func (d *Divider) SetLeading(leading bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leading && !d.leading {
		d.term++
		d.dealFrom = now.Add(takeOverDelay)
		clear(d.targets)
		d.sorted = nil
	}
	d.leading = leading
}

// AddReport adds what a host knows of the limits of targets.
func (d *Divider) AddReport(host string, observations []Observation, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.member(host)
	m.reportedAt = now
	for _, o := range observations {
		d.division(o.Target).addReport(m.number, o, now)
	}
}

// member returns the member of a host, a new one at its first report.
func (d *Divider) member(host string) *member {
	m := d.members[host]
	if m != nil {
		return m
	}
	m = &member{number: len(d.members)}
	if last := len(d.free) - 1; last >= 0 {
		m.number = d.free[last]
		d.free = d.free[:last]
	}
	d.members[host] = m
	return m
}

// number returns the number of a host.
func (d *Divider) number(host string) int {
	if m := d.members[host]; m != nil {
		return m.number
	}
	return noMember
}

// memberMemory is how long a host without reports keeps its number. What it was dealt has
// ended by then.
const memberMemory = reportMemory + reserveTime + 10*time.Second

// forgetMembers frees the numbers of hosts that no longer report, and removes what is left of
// their parts.
func (d *Divider) forgetMembers(now time.Time) {
	d.membersCheckedAt = now
	for host, m := range d.members {
		if now.Sub(m.reportedAt) >= memberMemory {
			for _, x := range d.sorted {
				x.remove(m.number)
			}
			d.free = append(d.free, m.number)
			delete(d.members, host)
		}
	}
}

func (d *Divider) nextVersion() uint64 {
	d.version++
	return d.version
}

// division returns the division of the limit of a target, a new one at its first report.
func (d *Divider) division(target string) *division {
	x := d.targets[target]
	if x == nil {
		x = newDivision(target, d.nextVersion)
		d.targets[target] = x
		i, _ := slices.BinarySearchFunc(d.sorted, target, func(x *division, target string) int { return strings.Compare(x.target, target) })
		d.sorted = slices.Insert(d.sorted, i, x)
	}
	return x
}

// Update returns what a host is to know of the limits of targets beyond what it has been
// told, and records that it is told that. linked is the number of hosts that this one can
// tell.
func (d *Divider) Update(host string, told *Told, linked int, now time.Time) Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leading {
		*told = Told{}
		return Update{}
	}
	d.divide(linked, now)
	if told.term != d.term {
		*told = Told{term: d.term}
	}
	update := Update{Continues: told.version > 0}
	number := d.number(host)
	for _, x := range d.sorted {
		if x.version > told.version && x.isNew(number, told.version) && (update.Continues || !x.ended) {
			update.Shares = append(update.Shares, x.share(number, now))
		}
	}
	told.version = d.version
	return update
}

// divide brings all divisions up to date.
func (d *Divider) divide(linked int, now time.Time) {
	dealing := !now.Before(d.dealFrom)
	// Hosts that are cut off may have another leader, which deals them the rest.
	part := min(1, float64(linked)/float64(d.hosts.Hosts()))
	forgotten := false
	for _, x := range d.sorted {
		if now.Sub(x.dividedAt) < divideInterval {
			continue
		}
		if x.forget(now); x.isForgotten(now) {
			delete(d.targets, x.target)
			forgotten = true
			continue
		}
		if dealing {
			x.divide(max(x.limit.PerSecond, minDealt)*part, now)
		}
		x.dividedAt = now
	}
	if now.Sub(d.membersCheckedAt) >= reportMemory {
		d.forgetMembers(now)
	}
	if forgotten {
		d.sorted = slices.DeleteFunc(d.sorted, func(x *division) bool { return d.targets[x.target] != x })
	}
}
