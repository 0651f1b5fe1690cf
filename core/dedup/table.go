// Package dedup remembers the ids of requests that must not be repeated, so that each
// of these requests is sent to a target at most once.
//
// A host remembers an id for one of three reasons: it forwarded the request to a
// leaseholder (Forward), it sent the request as the leaseholder (Begin), or a
// leaseholder replicated the id to it (Witness). A leaseholder that takes over a
// shard first collects the ids that the other hosts remember (Collect). An id is
// released before its window ends only if it is certain that the request was not run.
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

// Table holds request ids by service. Its size is bounded: a table that is full of ids
// whose window has not ended accepts no new ones.
type Table struct {
	// Revoke, if set before use, is called for each released id that was replicated.
	// witnesses lists the hosts to which a Witness message was sent. Revoke must not
	// block.
	Revoke func(revocation message.Witness, witnesses []record.Incarnation)

	clock   clock.Clock
	options Options

	// mutex guards all fields below. It is never held during a call to another host.
	mutex sync.Mutex
	ids   map[scopedID]*entry
	// ready holds, by shard, the ownership for which ids were collected.
	ready map[shard.ID]ownership
	// latestReply holds, by host and range of keys, the number of the latest query
	// whose reply was used.
	latestReply map[querySource]uint64
	// expiry orders all ids by the end of their window.
	expiry expiryHeap
	// sequence numbers the uses of ids and the messages to other hosts.
	sequence uint64
	// responseBytes is the total size of the stored response bodies.
	responseBytes int
}

// scopedID is a request id within its service.
type scopedID struct {
	service, id string
}

// ownership identifies the ownership of a shard by one target under one leaseholder.
type ownership struct {
	epoch, token uint64
}

// entry is one remembered id.
type entry struct {
	id      scopedID
	keyHash uint64
	// useNumber is the number of this use of the id. It distinguishes the entry from an
	// earlier one of the same id.
	useNumber uint64
	expires   time.Time
	heapIndex int

	// forwards counts the forwarded attempts in flight, which may still end as not
	// run.
	forwards int
	// leaseholder is the leaseholder of all forwarded attempts, unless
	// severalLeaseholders is set.
	leaseholder         record.Incarnation
	severalLeaseholders bool
	// sending, sentHere and mayHaveRun differ in when they are set. sending is set only
	// while this host handles the request as the leaseholder. sentHere is set at the
	// same time and stays set after the attempt, unless the outcome is not run.
	// mayHaveRun is set at the end of an attempt, sent or forwarded by this host, whose
	// outcome is done or unknown, and stays set.
	mayHaveRun bool
	sending    bool
	sentHere   bool
	// digest is the digest of the request that this host sent as the leaseholder.
	digest Digest
	// witnessFor holds the hosts that replicated the id to this one, with the
	// sequence number of their last message. witnesses lists the hosts to which this
	// one replicated it.
	witnessFor map[record.Incarnation]uint64
	witnesses  []record.Incarnation
	// replica is another host that remembers the id, or zero if none is recorded.
	replica record.Incarnation
	// collectedFrom holds the hosts that remembered the id when it was collected.
	collectedFrom map[record.Incarnation]bool
	response      *Response
}

// witnessMessage returns the message that replicates an id to another host for the
// given window. A zero window revokes an earlier message.
func (t *Table) witnessMessage(e *entry, window time.Duration) message.Witness {
	return message.Witness{
		Target: record.Target{Service: e.id.service}, Request: e.id.id, Window: window, Hash: e.keyHash,
		Sequence: t.sequence,
	}
}

// Response is a complete response that is stored for retries of its request.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// New returns an empty table.
func New(source clock.Clock, options Options) *Table {
	return &Table{
		clock:       source,
		options:     options.withDefaults(),
		ids:         make(map[scopedID]*entry),
		ready:       make(map[shard.ID]ownership),
		latestReply: make(map[querySource]uint64),
	}
}

// add remembers a new id. It returns nil if the table is full.
func (t *Table) add(id scopedID, keyHash uint64, window time.Duration) *entry {
	if len(t.expiry) >= t.options.MaxIDs {
		return nil
	}
	t.sequence++
	added := &entry{id: id, keyHash: keyHash, expires: t.clock.Now().Add(window), useNumber: t.sequence}
	t.ids[id] = added
	heap.Push(&t.expiry, added)
	return added
}

// extend moves the expiry of an id to at least window from now.
func (t *Table) extend(e *entry, window time.Duration) {
	expires := t.clock.Now().Add(window)
	if expires.After(e.expires) {
		e.expires = expires
		heap.Fix(&t.expiry, e.heapIndex)
	}
}

// release removes an id that no attempt and no other host needs any more.
func (t *Table) release(e *entry) {
	needed := e.mayHaveRun || e.sending || len(e.witnessFor) > 0 || e.forwards > 0 || len(e.collectedFrom) > 0
	if needed {
		return
	}
	t.remove(e)
	if len(e.witnesses) > 0 && t.Revoke != nil {
		t.Revoke(t.witnessMessage(e, 0), e.witnesses)
	}
}

func (t *Table) remove(e *entry) {
	delete(t.ids, e.id)
	heap.Remove(&t.expiry, e.heapIndex)
	if e.response != nil {
		t.responseBytes -= len(e.response.Body)
	}
}

// inFlightExtension is the time by which an id whose window has ended is extended
// while an attempt is in flight.
const inFlightExtension = time.Second

// expire removes the ids whose window has ended and that have no attempt in flight.
func (t *Table) expire() {
	now := t.clock.Now()
	for len(t.expiry) > 0 {
		oldest := t.expiry[0]
		if now.Before(oldest.expires) {
			return
		}
		if oldest.sending || oldest.forwards > 0 {
			t.extend(oldest, inFlightExtension)
			continue
		}
		t.remove(oldest)
	}
}

// expiryHeap is a heap of entries, with the first one to expire on top.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(item any) {
	added := item.(*entry)
	added.heapIndex = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
