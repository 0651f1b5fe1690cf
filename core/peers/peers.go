// Package peers holds what a host knows of the other hosts, and decides to which of
// them it relays a request: to the one that holds the queue of the owner of the request's
// key, or to any one while this host can't reach the targets itself. It does no I/O.
//
// Holder answers the load pattern of many hosts that share few owners of hot keys: each of
// them sees too few requests of an owner to know how full it is.
package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// forgetDelay is how long a host that is not in a new list remains known. After a
	// change of leader the first lists lack hosts.
	forgetDelay = 10 * time.Second
	// minBackoff is the time without relaying to a host after its first failure. Each
	// further failure doubles it up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	// maxBackoff bounds the time without relaying to a host after a failure.
	maxBackoff = 4 * time.Second
	// detachedDelay is how long a host counts as detached after it has said so in a
	// response.
	detachedDelay = time.Second
)

// Host is a host as other hosts see it.
type Host struct {
	// Address is where the host accepts connections of other hosts.
	Address string `cbor:"1,keyasint" json:"address"`
	// Domain is its failure domain.
	Domain string `cbor:"2,keyasint" json:"domain"`
	// Incarnation is the incarnation of the host's process.
	Incarnation string `cbor:"3,keyasint" json:"process"`
	// Detached holds the names of the services whose targets the host can't reach,
	// sorted.
	Detached []string `cbor:"4,keyasint,omitempty" json:"detached,omitempty"`
	// Cores is what the host may take of relayed requests, in processor cores, which may be
	// a fraction; see RelayCapacity. A host of an older build does not say it and holds no queue.
	Cores float64 `cbor:"5,keyasint,omitempty" json:"cores,omitempty"`
}

// Equal reports whether two hosts have the same values.
func (h Host) Equal(other Host) bool {
	return h.Address == other.Address && h.Domain == other.Domain && h.Incarnation == other.Incarnation &&
		h.Cores == other.Cores && slices.Equal(h.Detached, other.Detached)
}

// Table holds this host and the other hosts that it knows. It is safe for concurrent
// use.
type Table struct {
	// Random returns a random number in [0, n). It is set before use.
	Random func(n int) int

	mu    sync.Mutex
	self  Host
	hosts map[string]*entry
	// stopping is set once this host holds no queues any more.
	stopping bool
	// forgetAt is when the next missing host is to be forgotten; zero if none is missing.
	forgetAt time.Time
	// holders holds the hosts that may hold queues by failure domain; nil after a change.
	holders map[string][]*entry
}

// entry is another host.
type entry struct {
	Host
	// missingSince is the time of the first of the latest lists without the host, or
	// zero if it is in the latest list. gone is set if the leader has said that the host
	// is linked no more.
	missingSince time.Time
	gone         bool
	// seed is the hash of the address.
	seed uint64
	// backoff is the latest backoff, or zero if the host has served since, and
	// failedUntil its end.
	backoff     time.Duration
	failedUntil time.Time
	// heardAt is when the host has last answered anything.
	heardAt time.Time
	// detachedUntil holds, by service, the end of the time for which the host counts
	// as detached, whatever the list says.
	detachedUntil map[string]time.Time
}

// New returns a table without other hosts.
func New(self Host) *Table {
	return &Table{Random: rand.IntN, self: self, hosts: make(map[string]*entry)}
}

// SetDetached sets the services whose targets this host can't reach. It reports
// whether they have changed.
func (t *Table) SetDetached(services []string) bool {
	sorted := slices.Compact(slices.Sorted(slices.Values(services)))
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(sorted, t.self.Detached) {
		return false
	}
	t.self.Detached = sorted
	return true
}

// Self returns this host. The caller must not change its slice.
func (t *Table) Self() Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Put replaces what is known of the hosts in a list. Other hosts are forgotten after a
// delay. What was marked of a host holds until the list has something new of it.
func (t *Table) Put(list []Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		if h.Address == t.self.Address {
			continue
		}
		listed[h.Address] = true
		t.put(h)
	}
	for address, e := range t.hosts {
		if !listed[address] && e.missingSince.IsZero() {
			e.missingSince = now
		}
	}
	t.forget(now)
}

// Apply applies changes of the list of hosts. A host that is gone holds no queue from now on.
func (t *Table) Apply(changes Changes, now time.Time) {
	if changes.Whole {
		t.Put(changes.Hosts, now)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range changes.Hosts {
		if h.Address != t.self.Address {
			t.put(h)
		}
	}
	for _, address := range changes.Gone {
		if e := t.hosts[address]; e != nil && !e.gone {
			e.missingSince, e.gone, t.holders = now, true, nil
		}
	}
	t.forget(now)
}

// put replaces what is known of one host. The caller holds mu.
func (t *Table) put(h Host) {
	e := t.hosts[h.Address]
	if e == nil || e.Incarnation != h.Incarnation {
		t.hosts[h.Address], t.holders = &entry{Host: h, seed: hash(h.Address)}, nil
		return
	}
	if e.gone || e.Cores != h.Cores || e.Domain != h.Domain {
		t.holders = nil
	}
	if !e.Equal(h) {
		e.Host, e.detachedUntil = h, nil
	}
	e.missingSince, e.gone = time.Time{}, false
}

// forget removes the hosts that have been missing for forgetDelay. The caller holds
// mu.
func (t *Table) forget(now time.Time) {
	t.forgetAt = time.Time{}
	for address, e := range t.hosts {
		if e.missingSince.IsZero() {
			continue
		}
		end := e.missingSince.Add(forgetDelay)
		switch {
		case !now.Before(end):
			delete(t.hosts, address)
			t.holders = nil
		case t.forgetAt.IsZero() || end.Before(t.forgetAt):
			t.forgetAt = end
		}
	}
}

// Hosts returns the other hosts by address.
func (t *Table) Hosts(now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	all := make([]Host, 0, len(t.hosts))
	for _, e := range t.hosts {
		all = append(all, e.Host)
	}
	sortByAddress(all)
	return all
}

// Pick returns a host to which a request to a service can be relayed: a random one in
// this host's failure domain or, if there is none, in any other. It returns none of
// the excluded addresses, and no host that is detached or in backoff.
func (t *Table) Pick(service string, exclude []string, now time.Time) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	var near, far []Host
	for _, e := range t.hosts {
		switch {
		case slices.Contains(exclude, e.Address) || !e.usable(service, now):
		case e.Domain == t.self.Domain:
			near = append(near, e.Host)
		default:
			far = append(far, e.Host)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return Host{}, false
	}
	sortByAddress(near)
	return near[t.Random(len(near))], true
}

// usable reports whether the host is neither detached for the service nor in backoff.
func (e *entry) usable(service string, now time.Time) bool {
	return !slices.Contains(e.Detached, service) && !now.Before(e.detachedUntil[service]) && !now.Before(e.failedUntil)
}

// MarkFailed starts a backoff of the host at an address. Failures during a backoff are
// of requests that were relayed before it, and don't lengthen it.
func (t *Table) MarkFailed(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[address]
	if e == nil || now.Before(e.failedUntil) {
		return
	}
	e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
	e.failedUntil = now.Add(e.backoff)
}

// MarkServed ends the backoff of the host at an address, which has served a request.
func (t *Table) MarkServed(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.hosts[address]; e != nil {
		e.backoff, e.failedUntil, e.heardAt = 0, time.Time{}, now
	}
}

// MarkAlive records that the host at an address answers.
func (t *Table) MarkAlive(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.hosts[address]; e != nil {
		e.heardAt = now
	}
}

// HeardSince reports whether the host at an address has answered anything since a time.
func (t *Table) HeardSince(address string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[address]
	return e != nil && e.heardAt.After(since)
}

// Heard returns how many of the other hosts have answered anything since a time, and how many there are.
func (t *Table) Heard(since time.Time) (heard, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.hosts {
		if e.heardAt.After(since) {
			heard++
		}
	}
	return heard, len(t.hosts)
}

// MarkDetached records that the host at an address has said that it can't reach the
// targets of a service. That holds for a second, or until a list has something new of
// the host.
func (t *Table) MarkDetached(address, service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[address]
	if e == nil {
		return
	}
	if e.detachedUntil == nil {
		e.detachedUntil = make(map[string]time.Time)
	}
	e.detachedUntil[service] = now.Add(detachedDelay)
}

func sortByAddress(hosts []Host) {
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Address, b.Address) })
}
