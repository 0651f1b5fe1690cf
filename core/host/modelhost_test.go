package host

import (
	"fmt"
	"time"

	"pineturn/core/lease"
	"pineturn/core/message"
	"pineturn/core/record"
)

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
