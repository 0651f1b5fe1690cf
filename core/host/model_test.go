package host

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"pineturn/core/lease"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// The model runs the decision code of several hosts against fakes of the log
// and of the targets, in simulated time. Clocks drift, messages are delayed,
// and faults cut connections and pause or restart hosts and targets.

const (
	modelHosts      = 5
	modelTargets    = 4
	modelShards     = 12
	modelStep       = 10 * time.Millisecond
	modelClockDrift = 0.004
	// modelOrderTimeout is the time within which a target has to respond to
	// an order.
	modelOrderTimeout = 120 * time.Millisecond
)

const modelConfig = `services:
  vault:
    max-moves: 4
    targets:
      t0: {address: "127.0.0.1:9000", domain: d0, slots: 2, connections: 10}
      t1: {address: "127.0.0.1:9001", domain: d1, slots: 2, connections: 10}
      t2: {address: "127.0.0.1:9002", domain: d2, slots: 2, connections: 10, checked: true}
      t3: {address: "127.0.0.1:9003", domain: d3, slots: 2, connections: 10}
    groups:
      all: {keys: "*", shards: 12}
`

// event is a function that is scheduled at a simulated time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// model is the simulated system: the log, the hosts, the targets and the
// network between them.
type model struct {
	now         time.Duration
	random      *rand.Rand
	queue       events
	seq         int
	log         [][]byte
	logDown     bool
	hosts       []*simHost
	targets     []*simTarget
	cuts        map[string]bool
	violation   string
	assignments map[shard.ID]assignment
	digests     map[uint64]uint64
	options     Options
	// operatorRecords is the number of records written by the operator after
	// the first.
	operatorRecords uint64
}

// assignment is the owner of a shard according to a record that a host has
// read back.
type assignment struct {
	epoch  uint64
	target string
}

type simHost struct {
	m             *model
	index         int
	run           uint64
	host          *Host
	clockRate     float64
	pausedUntil   time.Duration
	backlog       []func()
	reading       bool
	nextReadAt    time.Duration
	heartbeats    map[int]bool
	pending       *record.Batch
	pendingSentAt time.Duration
	pendingUntil  time.Duration
	batchSeq      uint64
}

type simTarget struct {
	m           *model
	name        string
	index       int
	run         int
	clockRate   float64
	checked     bool
	term        uint64
	setVersion  uint64
	granted     []lease.Grant
	expiresUs   int64
	frozenUntil time.Duration
	queued      []func()
	draining    bool
	startedAt   time.Duration
}

func newModel(seed uint64, suspicion time.Duration) *model {
	m := &model{
		options: Options{Suspicion: suspicion, Lease: lease.Options{SuspicionTime: suspicion}},
		random:  rand.New(rand.NewPCG(seed, 1)), cuts: map[string]bool{},
		assignments: map[shard.ID]assignment{}, digests: map[uint64]uint64{},
	}
	for i := range modelTargets {
		m.targets = append(m.targets, &simTarget{m: m, name: fmt.Sprintf("t%d", i), index: i, clockRate: m.drawClockRate(), checked: i == 2})
	}
	m.append(record.Batch{
		Version: record.Version, ID: record.ID{Writer: record.Incarnation{Host: "operator", Run: 1}, Seq: 1},
		Ops: []record.Op{{Files: &record.Files{Changes: []record.FileChange{{Name: "a.yaml", Content: []byte(modelConfig)}}}}},
	})
	for i := range modelHosts {
		h := &simHost{m: m, index: i, clockRate: m.drawClockRate()}
		h.restart()
		m.hosts = append(m.hosts, h)
	}
	return m
}

func (m *model) drawClockRate() float64 { return 1 + modelClockDrift*(2*m.random.Float64()-1) }

func (m *model) append(batch record.Batch) {
	data, err := record.Encode(batch)
	if err != nil {
		panic(err)
	}
	m.log = append(m.log, data)
}

// schedule runs a function after d.
func (m *model) schedule(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.queue, event{at: m.now + d, seq: m.seq, run: run})
}

// drawDelay returns the delay of a message: 0.5 to 4.5 ms, and for 1 in 50
// messages up to 300 ms.
func (m *model) drawDelay() time.Duration {
	if m.random.IntN(50) == 0 {
		return time.Duration(m.random.IntN(300)) * time.Millisecond
	}
	return time.Duration(500+m.random.IntN(4000)) * time.Microsecond
}

func (m *model) isCut(kind string, a, b int) bool { return m.cuts[fmt.Sprint(kind, a, "-", b)] }

func (m *model) setCut(kind string, a, b int, on bool) { m.cuts[fmt.Sprint(kind, a, "-", b)] = on }

// runUntil advances the model and checks the invariants after each event
// and step.
func (m *model) runUntil(until time.Duration) {
	for m.now < until && m.violation == "" {
		next := m.now + modelStep
		for len(m.queue) > 0 && m.queue[0].at <= next {
			item := heap.Pop(&m.queue).(event)
			m.now = max(m.now, item.at)
			item.run()
			m.checkOwners()
		}
		m.now = next
		for _, t := range m.targets {
			t.step()
		}
		for _, h := range m.hosts {
			h.step()
		}
		m.checkOwners()
	}
}

// checkOwners records a violation if two targets hold the same shard at this
// moment.
func (m *model) checkOwners() {
	owners := map[shard.ID]string{}
	for _, t := range m.targets {
		if t.clock() >= t.expiresUs {
			continue
		}
		for _, grant := range t.granted {
			if other, ok := owners[grant.Shard]; ok && m.violation == "" {
				m.violation = fmt.Sprintf("at %v targets %s and %s both hold %s", m.now, other, t.name, grant.Shard)
			}
			owners[grant.Shard] = t.name
		}
	}
}

// owners returns a target that holds each shard; shards without one are left
// out.
func (m *model) owners() map[shard.ID]string {
	owners := map[shard.ID]string{}
	for _, t := range m.targets {
		if t.clock() < t.expiresUs {
			for _, grant := range t.granted {
				owners[grant.Shard] = t.name
			}
		}
	}
	return owners
}

func (t *simTarget) clock() int64 {
	return int64(float64((t.m.now - t.startedAt).Microseconds()) * t.clockRate)
}

func (t *simTarget) step() {
	if t.m.now < t.frozenUntil {
		return
	}
	queued := t.queued
	t.queued = nil
	for _, run := range queued {
		run()
	}
}

// restart drops the target's state. Its clock starts again at zero.
func (t *simTarget) restart() {
	t.run++
	t.granted, t.expiresUs, t.setVersion, t.term, t.queued, t.frozenUntil = nil, 0, 0, 0, nil, 0
	t.startedAt = t.m.now
}

// deliver handles an order when it arrives, or once the target is no longer
// frozen.
func (t *simTarget) deliver(run func()) {
	if t.m.now < t.frozenUntil {
		t.queued = append(t.queued, run)
		return
	}
	run()
}

func (t *simTarget) handleOrder(order lease.Order) lease.Response {
	respond := func(refused string) lease.Response {
		health := "ok"
		if t.draining {
			health = "draining"
		}
		return lease.Response{Incarnation: t.incarnation(), ClockUs: t.clock(), Health: health, SetVersion: t.setVersion, Refused: refused}
	}
	switch {
	case order.StatusOnly:
		return respond("")
	case order.Incarnation != t.incarnation():
		return respond("wrong-incarnation")
	case t.checked && order.Token < t.term:
		return respond("stale-term")
	case order.ExpiresUs <= t.clock():
		return respond("expired")
	case order.Renew && order.SetVersion != t.setVersion:
		return respond(lease.RefusedUnknownSet)
	}
	t.term = max(t.term, order.Token)
	t.expiresUs = order.ExpiresUs
	t.setVersion = order.SetVersion
	if !order.Renew {
		t.granted = order.Shards
	}
	return respond("")
}

func (t *simTarget) incarnation() string { return fmt.Sprintf("%s.%d", t.name, t.run) }

func (h *simHost) name() string { return fmt.Sprintf("h%d", h.index) }

func (h *simHost) restart() {
	h.run++
	h.reading, h.pending, h.backlog, h.pausedUntil, h.heartbeats = false, nil, nil, 0, map[int]bool{}
	h.batchSeq = 0
	self := record.Member{
		Incarnation: record.Incarnation{Host: h.name(), Run: h.run},
		Address:     fmt.Sprintf("127.0.1.%d:7000", h.index+1), Domain: fmt.Sprintf("d%d", h.index%modelTargets),
	}
	h.host = New(self, h.m.options, h.clock())
}

func (h *simHost) clock() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(h.m.now) * h.clockRate))
}

// deliver runs a function at the host, once it is no longer paused. If the
// host has been restarted since the call, the function is dropped.
func (h *simHost) deliver(run func()) {
	intendedRun := h.run
	wrapped := func() {
		if h.run == intendedRun {
			run()
		}
	}
	if h.m.now < h.pausedUntil {
		h.backlog = append(h.backlog, wrapped)
		return
	}
	wrapped()
}

func (h *simHost) step() {
	if h.m.now < h.pausedUntil {
		return
	}
	backlog := h.backlog
	h.backlog = nil
	for _, run := range backlog {
		run()
	}
	h.read()
	h.sendHeartbeats()
	h.sendDueMessages()
	h.requestPromises()
	h.propose()
}

func (h *simHost) logUnreachable() bool { return h.m.logDown || h.m.isCut("log", h.index, 0) }

func (h *simHost) read() {
	if h.reading || h.m.now < h.nextReadAt {
		return
	}
	h.reading = true
	h.nextReadAt = h.m.now + 40*time.Millisecond
	sent, from, run := h.clock(), h.host.Next(), h.run
	h.m.schedule(h.m.drawDelay(), func() {
		if h.logUnreachable() {
			h.m.schedule(100*time.Millisecond, func() { h.readDone(run) })
			return
		}
		page := append([][]byte(nil), h.m.log[min(int(from), len(h.m.log)):]...)
		h.m.schedule(h.m.drawDelay(), func() {
			if h.run == run {
				h.deliver(func() { h.handleLogPage(from, page, sent) })
			}
			h.readDone(run)
		})
	})
}

func (h *simHost) readDone(run uint64) {
	if h.run == run {
		h.reading = false
	}
}

func (h *simHost) handleLogPage(from uint64, page [][]byte, sent time.Time) {
	var records []message.Record
	for i, data := range page {
		records = append(records, message.Record{Offset: from + uint64(i), Data: data})
	}
	h.fold(records)
	h.host.OnLogRead(from+uint64(len(page)), sent, h.clock())
}

// fold folds records and records the assignments that take effect.
func (h *simHost) fold(records []message.Record) {
	before := h.host.Next()
	list, err := h.host.Fold(records, h.clock())
	if err != nil || h.host.Next() < before {
		h.m.violation = fmt.Sprintf("host %s folded from %d to %d: %v", h.name(), before, h.host.Next(), err)
	}
	for _, item := range list {
		if h.pending != nil && item.Batch.ID == h.pending.ID {
			h.pending = nil
		}
		for i, op := range item.Batch.Ops {
			if op.Assign != nil && item.Results[i].Err == nil {
				h.m.recordAssignment(op.Assign)
			}
		}
	}
	h.m.compareDigests(h)
}

// recordAssignment checks that an epoch of a shard is never assigned to two
// targets.
func (m *model) recordAssignment(op *record.Assign) {
	assigned := assignment{epoch: op.Expect + 1, target: op.Target}
	known := m.assignments[op.Shard]
	if known.epoch == assigned.epoch && known.target != assigned.target {
		m.violation = fmt.Sprintf("shard %s is assigned at epoch %d to both %s and %s", op.Shard, assigned.epoch, known.target, assigned.target)
	}
	if assigned.epoch > known.epoch {
		m.assignments[op.Shard] = assigned
	}
}

// compareDigests checks that all hosts have the same state at the same offset.
func (m *model) compareDigests(h *simHost) {
	_, digest, err := h.host.Snapshot()
	if err != nil {
		m.violation = err.Error()
		return
	}
	next := h.host.Next()
	if known, ok := m.digests[next]; ok && known != digest {
		m.violation = fmt.Sprintf("state of host %s differs from that of another host at offset %d", h.name(), next)
	}
	m.digests[next] = digest
}

func (h *simHost) sendHeartbeats() {
	if h.m.now%(120*time.Millisecond) != time.Duration(h.index)*modelStep {
		return
	}
	for _, to := range h.host.HeartbeatPeers() {
		h.sendPing(to)
	}
}

func (h *simHost) sendPing(to record.Member) {
	var other *simHost
	for _, candidate := range h.m.hosts {
		if candidate.name() == to.Incarnation.Host {
			other = candidate
		}
	}
	sentAt := h.clock()
	h.request(other, func(reply func(run func())) {
		if other.run != to.Incarnation.Run {
			if got := other.run; got > to.Incarnation.Run {
				reply(func() { h.host.OnReplaced(to.Incarnation, h.clock()) })
			}
			return
		}
		pong := other.host.OnPing(other.clock())
		reply(func() {
			if h.host.OnPong(pong, sentAt, h.clock()) && pong.Ready {
				h.catchUp(other)
			}
		})
	})
}

// send runs a function at another host after the delay of a message, unless
// the connection is cut.
func (h *simHost) send(other *simHost, run func()) {
	h.m.schedule(h.m.drawDelay(), func() {
		if !h.m.isCut("peer", min(h.index, other.index), max(h.index, other.index)) {
			other.deliver(run)
		}
	})
}

// request runs handler at another host. The reply is dropped if the requesting
// host has been restarted since, because its connection has ended.
func (h *simHost) request(other *simHost, handler func(reply func(run func()))) {
	askerRun := h.run
	h.send(other, func() {
		handler(func(run func()) {
			other.send(h, func() {
				if h.run == askerRun {
					run()
				}
			})
		})
	})
}

func (h *simHost) catchUp(other *simHost) {
	from := h.host.Next()
	h.request(other, func(reply func(run func())) {
		catchup, err := other.host.OnCatchup(from)
		if err != nil {
			return
		}
		reply(func() {
			if len(catchup.Snapshot) > 0 {
				_ = h.host.Restore(catchup.Snapshot, catchup.Digest, h.clock())
				return
			}
			h.fold(catchup.Records)
		})
	})
}

func (h *simHost) sendDueMessages() {
	orders, queries := h.host.DueMessages(h.clock())
	for _, order := range orders {
		h.sendOrder(order)
	}
	for _, query := range queries {
		holder, ok := h.host.LeaseholderOf(query.Message.Target)
		if !ok {
			continue
		}
		for _, other := range h.m.hosts {
			if other.host.Self().Incarnation == holder.Incarnation {
				h.queryRelease(other, query)
			}
		}
	}
}

// requestPromises sends the requests for promises of a deputy to the other
// hosts every 100 ms.
func (h *simHost) requestPromises() {
	if h.m.now%(100*time.Millisecond) != time.Duration(h.index)*modelStep {
		return
	}
	for _, promise := range h.host.Candidacies(h.clock()) {
		for _, other := range h.m.hosts {
			if other == h {
				continue
			}
			from := other.host.Self().Incarnation
			h.request(other, func(reply func(run func())) {
				if other.host.Self().Incarnation != from {
					return
				}
				promiseReply := other.host.OnPromise(promise, other.clock())
				reply(func() { h.host.OnPromiseReply(from, promise, promiseReply, h.clock()) })
			})
		}
	}
}

func (h *simHost) queryRelease(other *simHost, query lease.ReleaseQuery) {
	h.request(other, func(reply func(run func())) {
		shards := other.host.OnRelease(query.Message, other.clock()).Shards
		reply(func() { h.host.Leases().RecordReleased(query, shards) })
	})
}

// sendOrder sends an order and records a failure if no response arrives within
// modelOrderTimeout.
func (h *simHost) sendOrder(order lease.Order) {
	target := h.m.targets[order.Target.Name[1]-'0']
	sent, run, done := h.clock(), h.run, false
	h.m.schedule(h.m.drawDelay(), func() {
		if h.m.isCut("target", h.index, target.index) {
			return
		}
		target.deliver(func() {
			response := target.handleOrder(order)
			h.m.schedule(h.m.drawDelay(), func() {
				if h.m.isCut("target", h.index, target.index) {
					return
				}
				h.deliver(func() {
					if !done && h.run == run {
						done = true
						h.host.Leases().RecordResponse(order, response, sent, h.clock())
					}
				})
			})
		})
	})
	h.m.schedule(modelOrderTimeout, func() {
		h.deliver(func() {
			if !done && h.run == run {
				done = true
				h.host.Leases().RecordFailure(order, true, h.clock())
			}
		})
	})
}

// propose appends one batch at a time. The batch is sent again every 300 ms
// until it is read back, and dropped after 2 s.
func (h *simHost) propose() {
	if h.m.now%(50*time.Millisecond) == 0 {
		h.sendReport()
	}
	if h.pending != nil && h.m.now > h.pendingUntil {
		h.pending = nil
	}
	if h.pending == nil {
		ops := h.host.Propose(h.clock())
		if len(ops) == 0 {
			return
		}
		h.batchSeq++
		h.pending = &record.Batch{
			Version: record.Version, ID: record.ID{Writer: h.host.Self().Incarnation, Seq: h.batchSeq}, Ops: ops,
		}
		h.pendingSentAt, h.pendingUntil = 0, h.m.now+2*time.Second
	}
	if h.pendingSentAt != 0 && h.m.now-h.pendingSentAt < 300*time.Millisecond {
		return
	}
	h.pendingSentAt = h.m.now
	batch := *h.pending
	h.m.schedule(h.m.drawDelay(), func() {
		if !h.logUnreachable() {
			h.m.append(batch)
		}
	})
}

func (h *simHost) sendReport() {
	planner, ok := h.host.Planner(h.clock())
	if !ok {
		return
	}
	report := h.host.Report(h.clock())
	for _, other := range h.m.hosts {
		if other.host.Self().Incarnation != planner.Incarnation {
			continue
		}
		h.send(other, func() { other.host.OnReport(report, other.clock()) })
	}
}

// summary describes the grants and leases, for the message of a failed
// liveness check.
func (m *model) summary() string {
	text := ""
	for _, t := range m.targets {
		text += fmt.Sprintf("%s: %d shards, grant expires in %d us\n", t.name, len(t.granted), t.expiresUs-t.clock())
	}
	for _, h := range m.hosts {
		text += fmt.Sprintf("%s#%d next %d ready %v leaseholder of", h.name(), h.run, h.host.Next(), h.host.Ready())
		statuses := h.host.Leases().Statuses(h.clock())
		sort.Slice(statuses, func(i, j int) bool { return statuses[i].Target.Less(statuses[j].Target) })
		for _, status := range statuses {
			text += fmt.Sprintf(" %+v", status)
		}
		text += "\n"
	}
	return text
}
