// Package steward has one of all hosts lead: it sends targets their grants and
// keeps the record of the owners of keys in the platform's store.
package steward

import (
	"bytes"
	"context"
	"errors"
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
	// joinInterval is the time between calls of the chosen host, and of all
	// while none is heard of, and memberTTL the silence after which another host
	// is chosen.
	joinInterval = 500 * time.Millisecond
	memberTTL    = 1600 * time.Millisecond
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
	Departed() []placement.Entry
	Position() (next int64, fresh time.Time)
	Covered() bool
}

// Self is what other hosts are told of this one.
type Self struct {
	// Name is the host's name, Process its incarnation, and Address where
	// other hosts reach it.
	Name, Process, Address string
	// Cores is its share of processor cores.
	Cores float64
}

// Steward runs the leader's decisions while this host leads.
type Steward struct {
	self    Self
	store   Store
	catalog Catalog
	targets *placement.Set
	clock   clock.Clock
	orders  *sender
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
	leader    *owner.Leader
	balanced  time.Time
	wrote     time.Time
	wroteAt   int64
	firstSeen time.Time
	asked     time.Time
	former    owner.Assignment
	entries   map[string]placement.Entry
}

type result struct {
	order   owner.Order
	outcome owner.Outcome
}

// New returns a steward.
func New(self Self, store Store, catalog Catalog, targets *placement.Set, c clock.Clock) *Steward {
	return &Steward{
		self: self, store: store, catalog: catalog, targets: targets, clock: c,
		orders: newSender(), loads: owner.NewLoads(c.Now()),
		done: make(chan struct{}), results: make(chan result, mostOrders), proofs: make(chan time.Time, 1),
		PredecessorEnded: func(context.Context, string, string) (time.Time, bool) { return time.Time{}, false },
	}
}

// Done is closed when Run has returned.
func (s *Steward) Done() <-chan struct{} { return s.done }

// Leading reports whether this host leads.
func (s *Steward) Leading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading
}

// Add takes requests for keys into account that some host has counted.
func (s *Steward) Add(counts []owner.KeyCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.Add(counts)
}

// Resign has another host lead.
func (s *Steward) Resign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Run stays among the hosts that may lead, and leads when chosen, until the
// context ends.
func (s *Steward) Run(ctx context.Context) {
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
				s.leader.Ended(r.order, r.outcome, s.clock.Now())
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

func (s *Steward) stayMember(ctx context.Context) {
	var generation int64
	var joined time.Time
	heard := time.Now()
	for ctx.Err() == nil {
		if s.isStopping() {
			if err := s.store.Leave(ctx, s.self.Name, generation); err != nil {
				klog.InfoS("Leaving the group of hosts failed", "err", err)
			}
			s.setChosen(false)
			return
		}
		if s.isChosen() || s.catalog.Covered() {
			heard = time.Now()
		}
		interval, ttl := s.joinTimes()
		reluctant := s.self.Cores < leaderCores && !s.isChosen() && time.Since(heard) < reluctance
		if reluctant || time.Since(joined) < interval {
			wait(ctx, joinPoll)
			continue
		}
		joined = time.Now()
		membership, err := s.store.Join(ctx, s.self.Name, generation, ttl)
		if err != nil {
			s.setChosen(false)
			continue
		}
		generation = membership.Generation
		s.setChosen(membership.Chosen)
	}
}

// joinTimes returns the time between two calls to join, and the silence after
// which this host counts as gone.
func (s *Steward) joinTimes() (interval, ttl time.Duration) {
	if !s.isChosen() && s.catalog.Covered() {
		return calmInterval, calmTTL
	}
	return joinInterval, memberTTL
}

func (s *Steward) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Steward) setChosen(chosen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chosen != chosen {
		klog.InfoS("Choice of the leader", "chosen", chosen)
	}
	s.chosen = chosen
}

func (s *Steward) isChosen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chosen
}

func (s *Steward) setLeading(leading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading = leading
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *Steward) tick(ctx context.Context) {
	next, fresh := s.catalog.Position()
	if next < 0 {
		return
	}
	now := s.clock.Now()
	s.followRecord(now)
	switch {
	case s.leader != nil:
		s.lead(ctx, next, s.freshest(fresh), now)
	case s.isChosen():
		s.takeOver(ctx, next, now)
	}
}

func (s *Steward) freshest(read time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if read.After(s.fresh) {
		s.fresh = read
	}
	return s.fresh
}

func (s *Steward) keyedServices() []string {
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
func (s *Steward) followRecord(now time.Time) {
	a := s.catalog.Assignment()
	if a == nil {
		return
	}
	mine := a.Process == s.self.Process
	switch {
	case s.leader == nil && mine && !s.isStopping():
		s.leader = owner.Lead(a, now)
		s.balanced = now
		s.setLeading(true)
		klog.InfoS("This host leads", "epoch", a.Epoch)
	case s.leader != nil && (!mine || a.Epoch != s.leader.Epoch()):
		klog.InfoS("Another host leads", "leader", a.Leader, "epoch", a.Epoch, "epochHere", s.leader.Epoch())
		s.leader = nil
		s.setLeading(false)
	case s.leader == nil && !mine:
		s.former = *a
	}
}

// takeOver writes the record that makes this host the leader.
func (s *Steward) takeOver(ctx context.Context, next int64, now time.Time) {
	if now.Sub(s.wrote) < writeRetry {
		return
	}
	s.wrote = now
	a := owner.Assignment{}
	if old := s.catalog.Assignment(); old != nil {
		a = *old
	}
	a.Epoch++
	a.Leader, a.Process, a.Address = s.self.Name, s.self.Process, s.self.Address
	s.append(ctx, &a, next)
}

func (s *Steward) append(ctx context.Context, a *owner.Assignment, next int64) {
	data, err := a.Encode()
	if err != nil {
		klog.ErrorS(err, "Assignment can't be encoded")
		return
	}
	sent := s.clock.Now()
	go func() {
		err := s.store.AppendAt(ctx, platform.TopicOwners, platform.KeyOwners, data, next)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			klog.InfoS("Writing the assignment failed", "epoch", a.Epoch, "at", next, "err", err)
		}
		if err == nil {
			s.freshest(sent)
		}
	}()
}

// lead does what is due while this host leads.
func (s *Steward) lead(ctx context.Context, next int64, fresh, now time.Time) {
	if s.leader.Fenced() {
		klog.InfoS("A target has seen a later leader", "epoch", s.leader.Epoch())
	}
	targets := s.targetsNow()
	s.askPredecessor(ctx, now)
	s.writeIfDirty(ctx, next, now)
	calm := now.Sub(fresh) < calmFor
	if calm {
		s.change(targets, now)
	}
	s.leader.Settle(targets, now)
	s.writeIfDirty(ctx, next, now)
	if now.Sub(fresh) >= owner.FreshFor || s.isStopping() && !calm {
		return
	}
	s.send(ctx, targets, now.Sub(fresh) < owner.SureFor, now)
}

func (s *Steward) change(targets map[string]owner.Target, now time.Time) {
	balance := now.Sub(s.balanced) >= balanceInterval && !s.leader.Dirty()
	s.mu.Lock()
	defer s.mu.Unlock()
	if balance {
		s.balanced = now
		s.loads.Age(now)
	}
	for _, service := range s.keyedServices() {
		if !s.leader.Assigned(service) && !s.gathered(targets, service, now) {
			continue
		}
		s.leader.Assign(service, targets, s.loads, now)
		if balance {
			if n := s.leader.Balance(service, targets, s.loads, now); n > 0 {
				klog.InfoS("Keys move for balance", "service", service, "moves", n)
			}
		}
	}
}

// gathered reports whether targets had time to appear before keys are divided
// for the first time.
func (s *Steward) gathered(targets map[string]owner.Target, service string, now time.Time) bool {
	for _, t := range targets {
		if t.Service != service {
			continue
		}
		if s.firstSeen.IsZero() {
			s.firstSeen = now
		}
		return now.Sub(s.firstSeen) >= settleTime
	}
	return false
}

func (s *Steward) writeIfDirty(ctx context.Context, next int64, now time.Time) {
	if !s.leader.Dirty() {
		return
	}
	record := s.leader.Record()
	if same(record, s.catalog.Assignment()) {
		s.leader.Written(record)
		return
	}
	if now.Sub(s.wrote) < writeRetry && next == s.wroteAt {
		return
	}
	s.wrote, s.wroteAt = now, next
	s.append(ctx, record, next)
}

func same(a, b *owner.Assignment) bool {
	one, err := a.Encode()
	if err != nil {
		return false
	}
	other, err := b.Encode()
	return err == nil && bytes.Equal(one, other)
}

func (s *Steward) targetsNow() map[string]owner.Target {
	targets := make(map[string]owner.Target)
	s.entries = make(map[string]placement.Entry)
	for _, e := range s.catalog.Departed() {
		targets[e.ID] = ownerTarget(e, true)
		s.entries[e.ID] = e
	}
	for _, e := range s.targets.Entries("") {
		targets[e.ID] = ownerTarget(e, e.Draining)
		s.entries[e.ID] = e
	}
	return targets
}

func ownerTarget(e placement.Entry, leaving bool) owner.Target {
	return owner.Target{
		Holder: owner.Holder{Target: e.ID, Born: e.Born}, Service: e.Service, Slots: e.Slots, Leaving: leaving,
	}
}

func (s *Steward) send(ctx context.Context, targets map[string]owner.Target, sure bool, now time.Time) {
	for _, order := range s.leader.Orders(targets, sure, now) {
		address := s.entries[order.Target.Target].Address
		go func() {
			outcome := s.orders.send(ctx, address, order)
			select {
			case s.results <- result{order: order, outcome: outcome}:
			case <-ctx.Done():
			}
		}()
	}
}

// askInterval is the time between questions to the host that led before.
const askInterval = time.Second

// askPredecessor asks for proof that the process that led before has ended.
func (s *Steward) askPredecessor(ctx context.Context, now time.Time) {
	if s.former.Process == "" || !s.leader.Waits(now) || now.Sub(s.asked) < askInterval {
		return
	}
	s.asked = now
	former := s.former
	go func() {
		at, ok := s.PredecessorEnded(ctx, former.Address, former.Process)
		if !ok {
			return
		}
		select {
		case s.proofs <- at:
		default:
		}
	}()
}
