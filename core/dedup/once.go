// Package once remembers the ids of requests that must not be repeated, so
// that each is sent to a target at most once.
//
// A host remembers an id for one of three reasons: it forwarded the request
// to a leaseholder (Forward), it is the leaseholder that sent it (Begin), or
// a leaseholder asked it to (Witness). A leaseholder that takes a shard over
// first collects what the other hosts remember (Collect). An id is freed
// before its window has passed only when it is certain that the request was
// not run.
package dedup

import (
	"container/heap"
	"sync"
	"time"

	"pineturn/core/clock"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// Table holds ids by service. It is bounded: when it is full of ids whose
// window has not passed, it takes no new ones.
type Table struct {
	// Revoke, if set before use, is told of each id that is free again and of
	// the hosts that were asked to remember it. It must not block.
	Revoke func(ask message.Witness, asked []record.Incarnation)

	clock   clock.Clock
	options Options

	// mutex guards all below; it is never held across a call to another host.
	mutex sync.Mutex
	ids   map[name]*entry
	// ready holds, by shard, the tenure for which ids were collected.
	ready map[shard.ID]tenure
	// heard is, by host and keys, the last question whose answer was taken over.
	heard map[respondent]uint64
	// expiry orders all ids by the end of their window.
	expiry expiryHeap
	// sequence numbers the uses of ids and the asks and questions to other hosts.
	sequence uint64
	// answers is the size of all kept answers, in bytes.
	answers int
}

// name identifies a request of one service.
type name struct {
	service, id string
}

// tenure is a shard's ownership by one target under one leaseholder.
type tenure struct {
	epoch, term uint64
}

// entry is one remembered id.
type entry struct {
	name name
	hash uint64
	// number tells the id from an earlier use of it.
	number uint64
	until  time.Time
	index  int

	// attempts counts the forwards in flight that may yet turn out not run.
	attempts int
	// holder is the leaseholder of all forwards, unless mixed is set.
	holder record.Incarnation
	mixed  bool
	// kept is set once the request may have run.
	kept bool
	// sending is set while this host, as the leaseholder, handles it.
	sending bool
	// begun is set while this host itself may have had the request run.
	begun bool
	// digest is the content of the request that was begun here.
	digest Digest
	// askers are the hosts that asked this one to remember the id, with the
	// number of their last ask, asked those that this one asked.
	askers map[record.Incarnation]uint64
	asked  []record.Incarnation
	// copy is another host that remembers the id, if it is known here.
	copy record.Incarnation
	// sources lists the hosts that remembered the id when it was collected.
	sources map[record.Incarnation]bool
	answer  *Answer
}

// ask has another host remember an id for a while, or no more.
func (m *Table) ask(known *entry, window time.Duration) message.Witness {
	return message.Witness{
		Target: record.Target{Service: known.name.service}, Request: known.name.id, Window: window, Hash: known.hash,
		Sequence: m.sequence,
	}
}

// Answer is a small whole answer, kept for a retry of its request.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// New returns an empty memory.
func New(source clock.Clock, options Options) *Table {
	return &Table{
		clock:   source,
		options: options.withDefaults(),
		ids:     make(map[name]*entry),
		ready:   make(map[shard.ID]tenure),
		heard:   make(map[respondent]uint64),
	}
}

// add remembers a new id, or returns nil when the memory is full.
func (m *Table) add(key name, hash uint64, window time.Duration) *entry {
	if len(m.expiry) >= m.options.Most {
		return nil
	}
	m.sequence++
	added := &entry{name: key, hash: hash, until: m.clock.Now().Add(window), number: m.sequence}
	m.ids[key] = added
	heap.Push(&m.expiry, added)
	return added
}

// extend lets an id be remembered for at least window from now on.
func (m *Table) extend(known *entry, window time.Duration) {
	until := m.clock.Now().Add(window)
	if until.After(known.until) {
		known.until = until
		heap.Fix(&m.expiry, known.index)
	}
}

// free forgets an id that nothing here needs any more.
func (m *Table) free(known *entry) {
	needed := known.kept || known.sending || len(known.askers) > 0 || known.attempts > 0 || len(known.sources) > 0
	if needed {
		return
	}
	m.remove(known)
	if len(known.asked) > 0 && m.Revoke != nil {
		m.Revoke(m.ask(known, 0), known.asked)
	}
}

func (m *Table) remove(known *entry) {
	delete(m.ids, known.name)
	heap.Remove(&m.expiry, known.index)
	if known.answer != nil {
		m.answers -= len(known.answer.Body)
	}
}

// inFlight is how much longer an id in flight is remembered when its window
// has passed.
const inFlight = time.Second

// expire forgets the ids whose window has passed and that are not in flight.
func (m *Table) expire() {
	now := m.clock.Now()
	for len(m.expiry) > 0 {
		oldest := m.expiry[0]
		if now.Before(oldest.until) {
			return
		}
		if oldest.sending || oldest.attempts > 0 {
			m.extend(oldest, inFlight)
			continue
		}
		m.remove(oldest)
	}
}

// expiryHeap is a heap of entries, the first to expire on top.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an entry, for package heap.
func (h *expiryHeap) Push(item any) {
	added := item.(*entry)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop takes the last entry off, for package heap.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
