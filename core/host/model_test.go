package host

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"pineturn/core/lease"
	"pineturn/core/record"
	"pineturn/core/shard"
)

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

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

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
