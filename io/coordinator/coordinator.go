// Package coordinator elects one host as the leader through the platform's
// store. The leader records the owners of keys in the store and sends grants to
// the targets.
package coordinator

import (
	"context"
	"net"
	"sync"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
	"pineturn/core/routing"
	"pineturn/io/socket"
	"pineturn/platform"
)

const (
	// leaderJoinInterval is the time between join calls of the elected host.
	leaderJoinInterval = 500 * time.Millisecond
	// electionJoinInterval is the time between join calls of a host that is not
	// elected and that no leader relays updates to.
	electionJoinInterval = 200 * time.Millisecond
	// failedJoinInterval is the time from a failed join call to the next one. Many hosts
	// make such calls while the store is down.
	failedJoinInterval = time.Second
	// memberTTL is the time without a join call after which the store removes a
	// host from the group and elects another. It applies to a host that is elected
	// or that no leader relays updates to.
	memberTTL = 1600 * time.Millisecond
	// standbyJoinInterval is the time between join calls of a host that is not
	// elected while the leader relays updates to it.
	standbyJoinInterval = time.Second
	// standbyTTL is used instead of memberTTL for a host that is not elected while
	// the leader relays updates to it.
	standbyTTL = 2300 * time.Millisecond
	// unfitJoinDelay is how long a host with less than minLeaderCores, or one that
	// yields, stays out of the election after the last sign of a leader, so that other
	// hosts are elected first.
	unfitJoinDelay = 2500 * time.Millisecond
	// minLeaderCores is the share that the leader of many hosts needs, in
	// processor cores. A host with less is not excluded from the election: it only
	// joins unfitJoinDelay later.
	minLeaderCores = 0.25
	// joinPollInterval is the time between checks whether a join call is due.
	joinPollInterval = 100 * time.Millisecond
	// tickInterval is the time between runs of tick.
	tickInterval = 50 * time.Millisecond
	// initialAssignDelay is the time between the first target's appearance and
	// the first assignment of keys. It lets the other targets appear.
	initialAssignDelay = 1500 * time.Millisecond
	// writeRetryInterval is the time after which a write is repeated if the
	// record read back does not show it.
	writeRetryInterval = 400 * time.Millisecond
	// grantTimeout bounds the call for one grant.
	grantTimeout = time.Second
	// releaseTimeout bounds the call for one release.
	releaseTimeout = 8 * time.Second
	// writeIntervalPerHost is the time between two writes of the assignment for each
	// host. All hosts receive each one, so changes are collected where there are many.
	writeIntervalPerHost = 4 * time.Millisecond
	// resultBuffer is the number of outcomes of orders that can be queued for
	// Run.
	resultBuffer = 64
	// maxProofAgeForChanges is the age of the last proof of leadership up to
	// which the leader changes owners.
	maxProofAgeForChanges = 2500 * time.Millisecond
)

// Store is the part of the store's client that a Coordinator uses.
type Store interface {
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (platform.GroupMember, error)
	Leave(ctx context.Context, member string, generation int64) error
	AppendAt(ctx context.Context, topic, key string, value []byte, at int64) error
}

// Catalog is the part of the host's local copy of the store that a Coordinator
// uses.
type Catalog interface {
	Table() *routing.Table
	Assignment() *owner.Assignment
	// UnreadableOwners returns the offset of the newest record of owners, and true, if that can't
	// be read.
	UnreadableOwners() (offset int64, unreadable bool)
	RecentlyRemoved() []placement.Entry
	// TargetsRanAt returns a time at which each target whose entry this host has read was running,
	// or since when it has; zero if there is no proof.
	TargetsRanAt() time.Time
	// Position holds for the present era: next is negative until the topic of assignments
	// has been read in it.
	Position() (next int64, provenAt time.Time)
	RelayActive() bool
	// ReadAtOnce makes this host read all topics now.
	ReadAtOnce()
	// Era is the newest era of the store that this host has read, 0 for a store without. It
	// never falls, and rises before anything read in the new era shows.
	Era() int64
}

// Host describes the local host.
type Host struct {
	// Name is the host's name, Incarnation the incarnation of its process, and
	// Address the address at which other hosts connect to it.
	Name, Incarnation, Address string
	// Cores is the host's share of processor cores.
	Cores float64
	// FirstStart is set when all hosts start for the first time, so that a store without
	// a record has lost none.
	FirstStart bool
}

// Coordinator takes part in the leader election, and carries out the decisions
// of owner.Leader while this host is the leader.
type Coordinator struct {
	self Host
	// maxLease is the longest lease that targets accept.
	maxLease time.Duration
	store    Store
	catalog  Catalog
	targets  *placement.Set
	clock    clock.Clock
	sender   *sender
	// Dial opens connections to targets. It is set before Run.
	Dial socket.DialFunc
	// Hosts returns the number of hosts. It is set before Run.
	Hosts func() int
	// Yields reports whether this host has no path to targets that another host
	// reaches, so that another one should lead. It is set before Run.
	Yields func() bool
	// Unrecorded returns the record of the requests that are refused, and whether this host is
	// to write it: it differs from the one in the store. It is set before Run.
	Unrecorded func() (record []byte, differs bool)
	// SpreadKeys reports whether hot regions of keys are spread soon and finely, and HandleMoves is
	// called with what a round has moved for that; it must not call this coordinator. They are set
	// before Run.
	SpreadKeys  func() bool
	HandleMoves func(service string, moves owner.Moves)
	// HandleUnanswered is called with the service of each order that its target did not
	// answer. It is set before Run.
	HandleUnanswered func(service string)
	// PredecessorEnded queries whether the process of an earlier leader can send no
	// more grants: it has ended, or it knows of the leader of the given epoch. It is set
	// before Run.
	PredecessorEnded func(ctx context.Context, process owner.LeaderProcess, epoch int64) (ProcessEnd, bool)

	mu              sync.Mutex
	elected         bool
	leading         bool
	stopping        bool
	provenAt        time.Time
	loads           *owner.Loads
	done            chan struct{}
	results         chan result
	predecessorEnds chan predecessorEnd
	// grantsInFlight is the number of grants without an outcome.
	grantsInFlight int
	// acked is the last acknowledged write in a store with eras, nil if it counts already.
	acked *ackedWrite
	// unaccountedUntil is the time until which targets may apply grants without an
	// outcome that this host sent before it last stopped leading.
	unaccountedUntil time.Time
	// unaccounted names these grants. unnamed reports that there are others.
	unaccounted []owner.UnaccountedGrant
	unnamed     bool

	// The fields below are used by the goroutine of Run only.
	leader *owner.Leader
	// known is the assignment of the highest epoch that this host has read.
	known *owner.Assignment
	// era is the store's era, and eraSeenAt when it was first seen.
	era       int64
	eraSeenAt time.Time
	// balancedAt is the time of the last round of rebalancing, or the time at
	// which this host became the leader.
	balancedAt time.Time
	// spreadAt is the time of the last full round that spread keys.
	spreadAt time.Time
	// writtenAt is the time of the last write of an assignment, and writtenOffset
	// the offset at which the leader's last write was to be stored.
	writtenAt     time.Time
	writtenOffset int64
	// written is the assignment that was last written, nil once it has been read back.
	written *owner.Assignment
	// blockedWrittenAt is the time of the last write of the requests that are refused, and
	// blockedOffset the offset at which that was to be stored.
	blockedWrittenAt time.Time
	blockedOffset    int64
	// fencedEpoch is the last epoch of this host in which a target reported a
	// higher fencing token.
	fencedEpoch int64
	// firstTargetAt is the time at which the first target of any keyed service was
	// seen before an assignment; zero for none.
	firstTargetAt time.Time
	// queriedAt is the time of the last query of the earlier leaders' hosts.
	queriedAt time.Time
	// entries holds the entries of all targets by id, including those removed
	// recently.
	entries map[string]placement.Entry
}

type result struct {
	order   owner.Order
	outcome owner.Outcome
}

// predecessorEnd reports that the process of an earlier leader could send no more
// grants at a time. It holds for the leader of the epoch only: the process may have led
// again before a later one.
type predecessorEnd struct {
	process owner.LeaderProcess
	end     ProcessEnd
	epoch   int64
}

// ProcessEnd is a proof that a process sends no more grants.
type ProcessEnd struct {
	// At is a time by which that held.
	At time.Time
	// Accounted reports that the process knows that targets can apply none of its grants
	// late. It is not set for a process that was killed.
	Accounted bool
	// Unaccounted names all grants of the process that targets may still apply, if it is alive and there
	// are some.
	Unaccounted []owner.UnaccountedGrant
}

// New returns a coordinator. Targets accept leases of up to maxLease.
func New(self Host, maxLease time.Duration, store Store, catalog Catalog, targets *placement.Set, clk clock.Clock) *Coordinator {
	c := &Coordinator{
		self: self, maxLease: maxLease, store: store, catalog: catalog, targets: targets, clock: clk,
		Dial: socket.DiscardOnClose((&net.Dialer{Timeout: connectTimeout}).DialContext), loads: owner.NewLoads(clk.Now()),
		done: make(chan struct{}), results: make(chan result, resultBuffer), predecessorEnds: make(chan predecessorEnd, resultBuffer),
		Hosts:            func() int { return 1 },
		Yields:           func() bool { return false },
		HandleUnanswered: func(string) {},
		SpreadKeys:       func() bool { return false },
		HandleMoves:      func(string, owner.Moves) {},
		Unrecorded:       func() ([]byte, bool) { return nil, false },
		PredecessorEnded: func(context.Context, owner.LeaderProcess, int64) (ProcessEnd, bool) { return ProcessEnd{}, false },
	}
	c.sender = newSender(clk, func(ctx context.Context, network, address string) (net.Conn, error) {
		return c.Dial(ctx, network, address)
	})
	return c
}

// Done is closed when Run has returned.
func (c *Coordinator) Done() <-chan struct{} { return c.done }

// Leading reports whether this host is the leader.
func (c *Coordinator) Leading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading
}

// AddReport adds a host's report to the loads that rebalancing uses. A host that is
// about to lead may receive reports before it has read its record back.
func (c *Coordinator) AddReport(report owner.Report) {
	now, spread := c.clock.Now(), c.SpreadKeys()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		c.loads.Decay(now)
	}
	if spread {
		c.loads.AddAt(report, now)
		return
	}
	c.loads.Add(report)
}

// Resign leaves the election, so that another host is elected. A leader goes on
// until it reads the record of the next leader.
func (c *Coordinator) Resign() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// Run takes part in the election, and leads while elected, until the context
// ends.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	member := make(chan struct{})
	go func() {
		defer close(member)
		c.maintainMembership(ctx)
	}()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case r := <-c.results:
			c.handleResult(r)
		case end := <-c.predecessorEnds:
			c.handlePredecessorEnd(end)
		case <-tick.C:
			c.tick(ctx)
		}
	}
	<-member
	c.sender.close()
}

// resetLoads discards the loads when this host stops leading. Each host sends
// its full report to a new leader, so the loads are complete again when this host
// next leads.
func (c *Coordinator) resetLoads(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads = owner.NewLoads(now)
}

func (c *Coordinator) tick(ctx context.Context) {
	now := c.clock.Now()
	next, provenAt, read := c.readPosition(now)
	if read {
		c.updateLeadership(now)
	}
	switch {
	case c.leader != nil && c.leader.Era() < c.era:
		c.tickEarlierEra(ctx, next, read, now)
	case c.leader != nil && read:
		c.countAcked()
		c.tickLeader(ctx, next, c.recordProof(provenAt), now)
	case c.leader == nil && read && (c.isElected() || c.isSuccessor()):
		c.claimLeadership(ctx, next, now)
	}
	if c.leader == nil && read {
		c.writeBlocked(ctx, next, provenAt, now)
	}
}

func (c *Coordinator) keyedServices() []string {
	table := c.catalog.Table()
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
