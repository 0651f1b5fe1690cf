// Package coordinator has one of all hosts lead: it sends targets their grants and
// keeps the record of the owners of keys in the platform's store.
package coordinator

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
	"pineturn/core/routing"
	"pineturn/platform"
)

const (
	// joinInterval is the time between calls of the chosen host, searchInterval
	// that of all while none is heard of, and memberTTL the silence after which
	// another host is chosen.
	joinInterval   = 500 * time.Millisecond
	searchInterval = 200 * time.Millisecond
	memberTTL      = 1600 * time.Millisecond
	// calmInterval and calmTTL are the same for a host that is not chosen while
	// it hears of the one that leads.
	calmInterval = time.Second
	calmTTL      = 2300 * time.Millisecond
	// reluctance is how long a host with little processor time leaves it to the
	// others to lead, while none is heard of.
	reluctance = 2500 * time.Millisecond
	// leaderCores is the share of processor cores that leading many hosts takes.
	leaderCores = 0.25
	// joinPoll is the time between looks whether a call is due.
	joinPoll = 100 * time.Millisecond
	// tickInterval is the time between looks at what is due.
	tickInterval = 50 * time.Millisecond
	// balanceInterval is the time between two rounds of moves for balance.
	balanceInterval = 2 * time.Second
	// settleTime is how long targets gather before keys are divided for the
	// first time.
	settleTime = 1500 * time.Millisecond
	// writeRetry is the time after which a write without effect is repeated.
	writeRetry = 400 * time.Millisecond
	// grantTimeout and releaseTimeout bound one order.
	grantTimeout   = time.Second
	releaseTimeout = 8 * time.Second
	// mostOrders bounds the orders under way.
	mostOrders = 64
	// calmFor is the age of the last proof of leading with which owners change.
	calmFor = 2500 * time.Millisecond
)

// Store is the part of the store's client that a steward needs.
type Store interface {
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (platform.Membership, error)
	Leave(ctx context.Context, member string, generation int64) error
	AppendAt(ctx context.Context, topic, key string, value []byte, at int64) error
}

// Catalog is the part of the host's beliefs that a steward needs.
type Catalog interface {
	Table() *routing.Table
	Assignment() *owner.Assignment
	RecentlyRemoved() []placement.Entry
	Position() (next int64, fresh time.Time)
	RelayActive() bool
}

// Host is what other hosts are told of this one.
type Host struct {
	// Name is the host's name, Process its incarnation, and Address where
	// other hosts reach it.
	Name, Process, Address string
	// Cores is its share of processor cores.
	Cores float64
}

// Coordinator runs the leader's decisions while this host leads.
type Coordinator struct {
	self Host
	// longestLease is the longest lease that targets grant.
	longestLease time.Duration
	store        Store
	catalog      Catalog
	targets      *placement.Set
	clock        clock.Clock
	orders       *sender
	// PredecessorEnded asks another host whether its process that led before
	// has ended, and since when. It is set before Run.
	PredecessorEnded func(ctx context.Context, address, process string) (time.Time, bool)

	mu       sync.Mutex
	chosen   bool
	leading  bool
	stopping bool
	fresh    time.Time
	loads    *owner.Loads
	done     chan struct{}
	results  chan result
	proofs   chan time.Time

	// The fields below belong to the goroutine of Run.
	leader   *owner.Leader
	balanced time.Time
	wrote    time.Time
	wroteAt  int64
	// fenced is the epoch in which this host was last found to lead no more.
	fenced    int64
	firstSeen time.Time
	asked     time.Time
	former    owner.Assignment
	entries   map[string]placement.Entry
}

type result struct {
	order   owner.Order
	outcome owner.Outcome
}

// New returns a steward. Targets grant leases of up to longestLease.
func New(self Host, longestLease time.Duration, store Store, catalog Catalog, targets *placement.Set, c clock.Clock) *Coordinator {
	return &Coordinator{
		self: self, longestLease: longestLease, store: store, catalog: catalog, targets: targets, clock: c,
		orders: newSender(), loads: owner.NewLoads(c.Now()),
		done: make(chan struct{}), results: make(chan result, mostOrders), proofs: make(chan time.Time, 1),
		PredecessorEnded: func(context.Context, string, string) (time.Time, bool) { return time.Time{}, false },
	}
}

// Done is closed when Run has returned.
func (s *Coordinator) Done() <-chan struct{} { return s.done }

// Leading reports whether this host leads.
func (s *Coordinator) Leading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading
}

// Add takes a host's report into account.
func (s *Coordinator) Add(report owner.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.Add(report)
}

// Resign has another host lead.
func (s *Coordinator) Resign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Run stays among the hosts that may lead, and leads when chosen, until the
// context ends.
func (s *Coordinator) Run(ctx context.Context) {
	defer close(s.done)
	member := make(chan struct{})
	go func() {
		defer close(member)
		s.stayMember(ctx)
	}()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case r := <-s.results:
			if s.leader != nil {
				s.leader.HandleOutcome(r.order, r.outcome, s.clock.Now())
			}
		case at := <-s.proofs:
			if s.leader != nil {
				s.leader.PredecessorEnded(at)
				klog.InfoS("Leader before has ended", "leader", s.former.Leader, "epoch", s.former.Epoch)
			}
		case <-tick.C:
			s.tick(ctx)
		}
	}
	<-member
	s.orders.close()
}

// forgetLoads has this host learn loads anew when it leads again: each host then
// tells all that it remembers.
func (s *Coordinator) forgetLoads(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = owner.NewLoads(now)
}

func (s *Coordinator) setLeading(leading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading = leading
}

func (s *Coordinator) tick(ctx context.Context) {
	next, fresh := s.catalog.Position()
	if next < 0 {
		return
	}
	now := s.clock.Now()
	s.followRecord(now)
	switch {
	case s.leader != nil:
		s.lead(ctx, next, s.freshest(fresh), now)
	case s.isChosen() || s.isSuccessor():
		s.takeOver(ctx, next, now)
	}
}

func (s *Coordinator) freshest(read time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if read.After(s.fresh) {
		s.fresh = read
	}
	return s.fresh
}

func (s *Coordinator) keyedServices() []string {
	table := s.catalog.Table()
	if table == nil {
		return nil
	}
	var names []string
	for name, service := range table.Config().Services {
		if service.Keyed {
			names = append(names, name)
		}
	}
	return names
}

// followRecord starts to lead when the record read back says so, and stops when
// it names another process.
func (s *Coordinator) followRecord(now time.Time) {
	a := s.catalog.Assignment()
	if a == nil {
		return
	}
	mine := a.Process == s.self.Process
	switch {
	case s.leader == nil && mine && !s.isStopping():
		s.leader = owner.NewLeader(a, s.longestLease, now)
		s.balanced = now
		s.setLeading(true)
		klog.InfoS("This host leads", "epoch", a.Epoch)
	case s.leader != nil && (!mine || a.Epoch != s.leader.Epoch()):
		klog.InfoS("Another host leads", "leader", a.Leader, "epoch", a.Epoch, "epochHere", s.leader.Epoch())
		s.leader = nil
		s.setLeading(false)
		s.forgetLoads(now)
	case s.leader == nil && !mine:
		s.former = *a
	}
}
