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
// and of targets, in simulated time. Clocks drift, messages take time, and
// faults cut, pause and restart what they name.

const (
	modelHosts   = 5
	modelTargets = 4
	modelShards  = 12
	modelStep    = 10 * time.Millisecond
	modelDrift   = 0.004
	// modelTimeout is the time an order to a target may take.
	modelTimeout = 120 * time.Millisecond
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

// event is something that happens at a simulated instant.
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

// world is the whole simulated system.
type world struct {
	now     time.Duration
	random  *rand.Rand
	queue   events
	seq     int
	log     [][]byte
	logDown bool
	hosts   []*simHost
	targets []*simTarget
	cuts    map[string]bool
	broken  string
	acked   map[shard.ID]fact
	digests map[uint64]uint64
	options Options
	// operated counts the operator's records after the first.
	operated uint64
}

// fact is an assignment that a host has read back.
type fact struct {
	epoch  uint64
	target string
}

type simHost struct {
	w       *world
	index   int
	run     uint64
	host    *Host
	rate    float64
	paused  time.Duration
	backlog []func()
	reading bool
	readAt  time.Duration
	beats   map[int]bool
	pending *record.Batch
	sentAt  time.Duration
	until   time.Duration
	seqNo   uint64
}

type simTarget struct {
	w       *world
	name    string
	index   int
	run     int
	rate    float64
	checked bool
	term    uint64
	set     uint64
	held    []lease.Grant
	expires int64
	frozen  time.Duration
	buffer  []func()
	drain   bool
	started time.Duration
}

func newWorld(seed uint64, suspicion time.Duration) *world {
	w := &world{
		options: Options{Suspicion: suspicion, Lease: lease.Options{Suspicion: suspicion}},
		random:  rand.New(rand.NewPCG(seed, 1)), cuts: map[string]bool{},
		acked: map[shard.ID]fact{}, digests: map[uint64]uint64{},
	}
	for i := range modelTargets {
		w.targets = append(w.targets, &simTarget{w: w, name: fmt.Sprintf("t%d", i), index: i, rate: w.drift(), checked: i == 2})
	}
	w.append(record.Batch{
		Version: record.Version, ID: record.ID{Writer: record.Incarnation{Host: "operator", Run: 1}, Seq: 1},
		Ops: []record.Op{{Files: &record.Files{Changes: []record.FileChange{{Name: "a.yaml", Content: []byte(modelConfig)}}}}},
	})
	for i := range modelHosts {
		h := &simHost{w: w, index: i, rate: w.drift()}
		h.restart()
		w.hosts = append(w.hosts, h)
	}
	return w
}

func (w *world) drift() float64 { return 1 + modelDrift*(2*w.random.Float64()-1) }

func (w *world) append(batch record.Batch) {
	data, err := record.Encode(batch)
	if err != nil {
		panic(err)
	}
	w.log = append(w.log, data)
}

// after schedules run.
func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, run: run})
}

// delay is the time that a message takes, now and then a long one.
func (w *world) delay() time.Duration {
	if w.random.IntN(50) == 0 {
		return time.Duration(w.random.IntN(300)) * time.Millisecond
	}
	return time.Duration(500+w.random.IntN(4000)) * time.Microsecond
}

func (w *world) cut(kind string, a, b int) bool { return w.cuts[fmt.Sprint(kind, a, "-", b)] }

func (w *world) setCut(kind string, a, b int, on bool) { w.cuts[fmt.Sprint(kind, a, "-", b)] = on }

// run advances the world, checking the invariants at each step.
func (w *world) run(until time.Duration) {
	for w.now < until && w.broken == "" {
		next := w.now + modelStep
		for len(w.queue) > 0 && w.queue[0].at <= next {
			item := heap.Pop(&w.queue).(event)
			w.now = max(w.now, item.at)
			item.run()
			w.check()
		}
		w.now = next
		for _, t := range w.targets {
			t.step()
		}
		for _, h := range w.hosts {
			h.step()
		}
		w.check()
	}
}

// check looks for a shard that two targets hold at this moment.
func (w *world) check() {
	owners := map[shard.ID]string{}
	for _, t := range w.targets {
		if t.clock() >= t.expires {
			continue
		}
		for _, grant := range t.held {
			if other, ok := owners[grant.Shard]; ok && w.broken == "" {
				w.broken = fmt.Sprintf("at %v targets %s and %s both hold %s", w.now, other, t.name, grant.Shard)
			}
			owners[grant.Shard] = t.name
		}
	}
}

// owners counts the targets that hold each shard.
func (w *world) owners() map[shard.ID]string {
	owners := map[shard.ID]string{}
	for _, t := range w.targets {
		if t.clock() < t.expires {
			for _, grant := range t.held {
				owners[grant.Shard] = t.name
			}
		}
	}
	return owners
}

func (t *simTarget) clock() int64 {
	return int64(float64((t.w.now - t.started).Microseconds()) * t.rate)
}

func (t *simTarget) step() {
	if t.w.now < t.frozen {
		return
	}
	buffer := t.buffer
	t.buffer = nil
	for _, run := range buffer {
		run()
	}
}

// restart empties the target; its clock starts anew.
func (t *simTarget) restart() {
	t.run++
	t.held, t.expires, t.set, t.term, t.buffer, t.frozen = nil, 0, 0, 0, nil, 0
	t.started = t.w.now
}

// handle runs an order when it reaches the target, or once it is thawed.
func (t *simTarget) handle(run func()) {
	if t.w.now < t.frozen {
		t.buffer = append(t.buffer, run)
		return
	}
	run()
}

func (t *simTarget) accept(order lease.Order) lease.Answer {
	answer := func(refused string) lease.Answer {
		health := "ok"
		if t.drain {
			health = "draining"
		}
		return lease.Answer{Incarnation: t.incarnation(), ClockUs: t.clock(), Health: health, Set: t.set, Refused: refused}
	}
	switch {
	case order.Probe:
		return answer("")
	case order.Incarnation != t.incarnation():
		return answer("wrong-incarnation")
	case t.checked && order.Term < t.term:
		return answer("stale-term")
	case order.ExpiresUs <= t.clock():
		return answer("expired")
	case order.Renew && order.Set != t.set:
		return answer(lease.RefusedUnknownSet)
	}
	t.term = max(t.term, order.Term)
	t.expires = order.ExpiresUs
	t.set = order.Set
	if !order.Renew {
		t.held = order.Shards
	}
	return answer("")
}

func (t *simTarget) incarnation() string { return fmt.Sprintf("%s.%d", t.name, t.run) }

func (h *simHost) name() string { return fmt.Sprintf("h%d", h.index) }

func (h *simHost) restart() {
	h.run++
	h.reading, h.pending, h.backlog, h.paused, h.beats = false, nil, nil, 0, map[int]bool{}
	h.seqNo = 0
	self := record.Member{
		Incarnation: record.Incarnation{Host: h.name(), Run: h.run},
		Address:     fmt.Sprintf("127.0.1.%d:7000", h.index+1), Domain: fmt.Sprintf("d%d", h.index%modelTargets),
	}
	h.host = New(self, h.w.options, h.clock())
}

func (h *simHost) clock() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(h.w.now) * h.rate))
}

// handle runs what reaches the host, later if it is paused; what was meant
// for an earlier run is lost.
func (h *simHost) handle(run func()) {
	meant := h.run
	wrapped := func() {
		if h.run == meant {
			run()
		}
	}
	if h.w.now < h.paused {
		h.backlog = append(h.backlog, wrapped)
		return
	}
	wrapped()
}

func (h *simHost) step() {
	if h.w.now < h.paused {
		return
	}
	backlog := h.backlog
	h.backlog = nil
	for _, run := range backlog {
		run()
	}
	h.read()
	h.beat()
	h.act()
	h.stand()
	h.propose()
}

func (h *simHost) logCut() bool { return h.w.logDown || h.w.cut("log", h.index, 0) }

func (h *simHost) read() {
	if h.reading || h.w.now < h.readAt {
		return
	}
	h.reading = true
	h.readAt = h.w.now + 40*time.Millisecond
	sent, from, run := h.clock(), h.host.Next(), h.run
	h.w.after(h.w.delay(), func() {
		if h.logCut() {
			h.w.after(100*time.Millisecond, func() { h.readDone(run) })
			return
		}
		page := append([][]byte(nil), h.w.log[min(int(from), len(h.w.log)):]...)
		h.w.after(h.w.delay(), func() {
			if h.run == run {
				h.handle(func() { h.take(from, page, sent) })
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

func (h *simHost) take(from uint64, page [][]byte, sent time.Time) {
	var records []message.Record
	for i, data := range page {
		records = append(records, message.Record{Offset: from + uint64(i), Data: data})
	}
	h.fold(records)
	h.host.OnLogRead(from+uint64(len(page)), sent, h.clock())
}

// fold takes records in and notes which assignments this host acknowledges.
func (h *simHost) fold(records []message.Record) {
	before := h.host.Next()
	list, err := h.host.Fold(records, h.clock())
	if err != nil || h.host.Next() < before {
		h.w.broken = fmt.Sprintf("host %s folded from %d to %d: %v", h.name(), before, h.host.Next(), err)
	}
	for _, item := range list {
		if h.pending != nil && item.Batch.ID == h.pending.ID {
			h.pending = nil
		}
		for i, op := range item.Batch.Ops {
			if op.Assign != nil && item.Results[i].Err == nil {
				h.w.acknowledge(op.Assign)
			}
		}
	}
	h.w.compare(h)
}

// acknowledge checks that an acknowledged epoch names one owner for ever.
func (w *world) acknowledge(op *record.Assign) {
	now := fact{epoch: op.Expect + 1, target: op.Target}
	known := w.acked[op.Shard]
	if known.epoch == now.epoch && known.target != now.target {
		w.broken = fmt.Sprintf("shard %s epoch %d is both %s's and %s's", op.Shard, now.epoch, known.target, now.target)
	}
	if now.epoch > known.epoch {
		w.acked[op.Shard] = now
	}
}

// compare checks that hosts at the same offset hold the same state.
func (w *world) compare(h *simHost) {
	_, digest, err := h.host.Snapshot()
	if err != nil {
		w.broken = err.Error()
		return
	}
	next := h.host.Next()
	if known, ok := w.digests[next]; ok && known != digest {
		w.broken = fmt.Sprintf("host %s differs at offset %d", h.name(), next)
	}
	w.digests[next] = digest
}

func (h *simHost) beat() {
	if h.w.now%(120*time.Millisecond) != time.Duration(h.index)*modelStep {
		return
	}
	for _, to := range h.host.HeartbeatPeers() {
		h.ping(to)
	}
}

func (h *simHost) ping(to record.Member) {
	var other *simHost
	for _, candidate := range h.w.hosts {
		if candidate.name() == to.Incarnation.Host {
			other = candidate
		}
	}
	asked := h.clock()
	h.ask(other, func(reply func(run func())) {
		if other.run != to.Incarnation.Run {
			if got := other.run; got > to.Incarnation.Run {
				reply(func() { h.host.OnReplaced(to.Incarnation, h.clock()) })
			}
			return
		}
		pong := other.host.OnPing(other.clock())
		reply(func() {
			if h.host.OnPong(pong, asked, h.clock()) && pong.Ready {
				h.catchUp(other)
			}
		})
	})
}

// call runs at another host what this one sends it.
func (h *simHost) call(other *simHost, run func()) {
	h.w.after(h.w.delay(), func() {
		if !h.w.cut("peer", min(h.index, other.index), max(h.index, other.index)) {
			other.handle(run)
		}
	})
}

// ask runs a question at another host. A reply that finds the asking host
// restarted is lost, as its connection was.
func (h *simHost) ask(other *simHost, question func(reply func(run func()))) {
	asker := h.run
	h.call(other, func() {
		question(func(run func()) {
			other.call(h, func() {
				if h.run == asker {
					run()
				}
			})
		})
	})
}

func (h *simHost) catchUp(other *simHost) {
	from := h.host.Next()
	h.ask(other, func(reply func(run func())) {
		answer, err := other.host.OnCatchup(from)
		if err != nil {
			return
		}
		reply(func() {
			if len(answer.Snapshot) > 0 {
				_ = h.host.Restore(answer.Snapshot, answer.Digest, h.clock())
				return
			}
			h.fold(answer.Records)
		})
	})
}

func (h *simHost) act() {
	orders, questions := h.host.DueMessages(h.clock())
	for _, order := range orders {
		h.order(order)
	}
	for _, question := range questions {
		holder, ok := h.host.HolderOf(question.Message.Target)
		if !ok {
			continue
		}
		for _, other := range h.w.hosts {
			if other.host.Self().Incarnation == holder.Incarnation {
				h.question(other, question)
			}
		}
	}
}

// stand asks the other hosts for promises, ten times a second.
func (h *simHost) stand() {
	if h.w.now%(100*time.Millisecond) != time.Duration(h.index)*modelStep {
		return
	}
	for _, promise := range h.host.Candidacies(h.clock()) {
		for _, other := range h.w.hosts {
			if other == h {
				continue
			}
			from := other.host.Self().Incarnation
			h.ask(other, func(reply func(run func())) {
				if other.host.Self().Incarnation != from {
					return
				}
				answer := other.host.OnPromise(promise, other.clock())
				reply(func() { h.host.OnPromiseReply(from, promise, answer, h.clock()) })
			})
		}
	}
}

func (h *simHost) question(other *simHost, question lease.ReleaseQuery) {
	h.ask(other, func(reply func(run func())) {
		shards := other.host.OnRelease(question.Message, other.clock()).Shards
		reply(func() { h.host.Leases().RecordReleased(question, shards) })
	})
}

// order sends an order; no answer within the timeout is a failure.
func (h *simHost) order(order lease.Order) {
	target := h.w.targets[order.Target.Name[1]-'0']
	sent, run, done := h.clock(), h.run, false
	h.w.after(h.w.delay(), func() {
		if h.w.cut("target", h.index, target.index) {
			return
		}
		target.handle(func() {
			answer := target.accept(order)
			h.w.after(h.w.delay(), func() {
				if h.w.cut("target", h.index, target.index) {
					return
				}
				h.handle(func() {
					if !done && h.run == run {
						done = true
						h.host.Leases().RecordAnswer(order, answer, sent, h.clock())
					}
				})
			})
		})
	})
	h.w.after(modelTimeout, func() {
		h.handle(func() {
			if !done && h.run == run {
				done = true
				h.host.Leases().RecordFailure(order, true, h.clock())
			}
		})
	})
}

// propose appends one batch at a time, again and again until it is read back
// or given up.
func (h *simHost) propose() {
	if h.w.now%(50*time.Millisecond) == 0 {
		h.report()
	}
	if h.pending != nil && h.w.now > h.until {
		h.pending = nil
	}
	if h.pending == nil {
		ops := h.host.Propose(h.clock())
		if len(ops) == 0 {
			return
		}
		h.seqNo++
		h.pending = &record.Batch{
			Version: record.Version, ID: record.ID{Writer: h.host.Self().Incarnation, Seq: h.seqNo}, Ops: ops,
		}
		h.sentAt, h.until = 0, h.w.now+2*time.Second
	}
	if h.sentAt != 0 && h.w.now-h.sentAt < 300*time.Millisecond {
		return
	}
	h.sentAt = h.w.now
	batch := *h.pending
	h.w.after(h.w.delay(), func() {
		if !h.logCut() {
			h.w.append(batch)
		}
	})
}

func (h *simHost) report() {
	planner, ok := h.host.Planner(h.clock())
	if !ok {
		return
	}
	report := h.host.Report(h.clock())
	for _, other := range h.w.hosts {
		if other.host.Self().Incarnation != planner.Incarnation {
			continue
		}
		h.call(other, func() { other.host.OnReport(report, other.clock()) })
	}
}

// summary describes who holds what, for a failed liveness check.
func (w *world) summary() string {
	text := ""
	for _, t := range w.targets {
		text += fmt.Sprintf("%s: %d shards, left %d us\n", t.name, len(t.held), t.expires-t.clock())
	}
	for _, h := range w.hosts {
		text += fmt.Sprintf("%s#%d next %d ready %v leads", h.name(), h.run, h.host.Next(), h.host.Ready())
		statuses := h.host.Leases().Statuses(h.clock())
		sort.Slice(statuses, func(i, j int) bool { return statuses[i].Target.Less(statuses[j].Target) })
		for _, status := range statuses {
			text += fmt.Sprintf(" %+v", status)
		}
		text += "\n"
	}
	return text
}
