package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// lostMemory is how long after a lost response its target may be found to have ended.
const lostMemory = time.Second

// Send is a request that was sent to a target.
type Send struct {
	Fingerprint Fingerprint
	Target      Target
	// Request is the id of the request.
	Request string
	SentAt  time.Time
}

// lostSend is a send without a response, of which the target may have ended.
type lostSend struct {
	Send
	lostAt time.Time
}

// activeBlock is a block and the time of its last sign.
type activeBlock struct {
	Block
	since time.Time
}

// Role is the role of a host among the hosts.
type Role int

// Roles of hosts.
const (
	// Alone is a host that no leader tells of the record. It refuses what it has found itself,
	// and records it after some time.
	Alone Role = iota
	// Follower is a host that refuses what is recorded: others may have a response to what it
	// has found.
	Follower
	// Leader is the host that records what it has found by the observations of all hosts.
	Leader
)

// Tracker holds what a host knows of requests that end targets. It is safe for concurrent use.
type Tracker struct {
	// HandleBlock is called with each block that this host has found and applies. It must not
	// call the tracker, and is set before use.
	HandleBlock func(Block)

	// anyBlock is set while there is a block, so that others need no lock.
	anyBlock atomic.Bool

	mu sync.Mutex
	// responses holds the times of the last responses.
	responses map[responder]time.Time
	// responseOrder holds the keys of responses by age, the oldest first.
	responseOrder []responder
	// lost holds the sends whose target may have ended.
	lost map[Target][]lostSend
	// events holds what this host has observed, the oldest first.
	events []ownEvent
	// dropped is the number of events that are not kept any more.
	dropped  int
	detector *detector
	role     Role
	// changed is set if what is to be recorded may have changed since comparedAt, when it was
	// last compared with the record.
	changed    bool
	comparedAt time.Time
	// aloneSince is the time since when this host is alone, or zero if it is not.
	aloneSince time.Time
	// recorded holds the record last read, found the blocks that were found here and are not
	// recorded yet, lifted the requests to which a target has responded since.
	recorded map[Fingerprint]activeBlock
	found    map[Fingerprint]activeBlock
	lifted   map[Fingerprint]bool
}

// NewTracker returns a tracker that knows of no request.
func NewTracker() *Tracker {
	return &Tracker{
		HandleBlock: func(Block) {}, responses: make(map[responder]time.Time), lost: make(map[Target][]lostSend), detector: newDetector(),
		recorded: make(map[Fingerprint]activeBlock), found: make(map[Fingerprint]activeBlock), lifted: make(map[Fingerprint]bool),
	}
}

// Lost records that a send had no response because its connection ended.
func (t *Tracker) Lost(send Send, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.responded(send.Fingerprint, send.Target.Version, now) {
		return
	}
	for target, sends := range t.lost {
		if now.Sub(sends[len(sends)-1].lostAt) > lostMemory {
			delete(t.lost, target)
		}
	}
	t.lost[send.Target] = append(t.lost[send.Target], lostSend{Send: send, lostAt: now})
}

// Awaits reports whether responses of a target were lost so lately that its end would explain
// them.
func (t *Tracker) Awaits(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, sends := range t.lost {
		if target.ID == id && now.Sub(sends[len(sends)-1].lostAt) <= lostMemory {
			return true
		}
	}
	return false
}

// Ended records that a target has ended. It returns the sends under which it has.
func (t *Tracker) Ended(id string, now time.Time) []Send {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []Send
	for target, sends := range t.lost {
		if target.ID != id {
			continue
		}
		delete(t.lost, target)
		for _, s := range sends {
			if now.Sub(s.lostAt) > lostMemory || t.responded(s.Fingerprint, target.Version, now) {
				continue
			}
			ended = append(ended, s.Send)
			t.report(ownEvent{Event: Event{Fingerprint: s.Fingerprint, Target: target, Request: s.Request}, sentAt: s.SentAt, endedAt: now})
			t.addEnd(s.Fingerprint, end{target: target, request: s.Request, sentAt: s.SentAt, endedAt: now}, now)
		}
	}
	return ended
}

// contest lifts the block of a request that is refused, if a target of a version that it covers
// has responded. A request that is under suspicion is cleared of the ends of that version. The
// caller holds mu.
func (t *Tracker) contest(r responder, now time.Time) {
	block, refused := t.block(r.request, now)
	recorded, known := t.recorded[r.request]
	switch {
	case refused:
		if !t.respondedToBlock(block, now) {
			return
		}
		t.reportResponse(r)
		t.lift(r.request, now)
	case known && recorded.Suspect && recorded.Covers(r.version) || t.detector.suspects[r.request] != nil:
		t.reportResponse(r)
		t.clearVersion(r, now)
	}
}

// reportResponse tells other hosts of the last response of a version. The caller holds mu.
func (t *Tracker) reportResponse(r responder) {
	at := t.responses[r]
	t.report(ownEvent{Event: Event{Fingerprint: r.request, Responded: true, Target: Target{Version: r.version}}, sentAt: at, endedAt: at})
}

// clearVersion clears a request of the ends of targets of a version that has responded to it.
// The caller holds mu.
func (t *Tracker) clearVersion(r responder, now time.Time) {
	if t.detector.clearVersion(r.request, r.version) {
		t.changed = true
		return
	}
	t.lift(r.request, now)
}

func (t *Tracker) respondedToBlock(block Block, now time.Time) bool {
	return slices.ContainsFunc(block.Versions, func(version string) bool { return t.responded(block.Fingerprint, version, now) })
}

// lift ends the block of a request. The caller holds mu.
func (t *Tracker) lift(f Fingerprint, now time.Time) {
	t.clear(f, now)
	if _, ok := t.recorded[f]; ok {
		t.lifted[f], t.changed = true, true
	}
}

// clear forgets a request. Ends that were explained by it may count against others. The caller
// holds mu.
func (t *Tracker) clear(f Fingerprint, now time.Time) {
	_, refused := t.found[f]
	t.changed = true
	delete(t.found, f)
	t.detector.clear(f)
	if !refused && t.recorded[f].Suspect {
		return
	}
	for other := range t.detector.suspects {
		t.judge(other, now)
	}
}

// addEnd records the end of a target under a request. The caller holds mu.
func (t *Tracker) addEnd(f Fingerprint, e end, now time.Time) {
	t.changed = true
	if block, ok := t.knownBlock(f, now); ok {
		t.detector.explain(e.target, f, now)
		// A further end tells nothing new but of another version.
		if !block.Covers(e.target.Version) {
			block.add(e.target, e.request)
			t.find(block, now)
		}
		return
	}
	t.detector.add(f, e, now)
	t.judge(f, now)
}

// judge refuses a request if enough targets have ended under it. The caller holds mu.
func (t *Tracker) judge(f Fingerprint, now time.Time) {
	if block, ok := t.detector.takeBlock(f, now); ok {
		t.find(block, now)
		if t.role != Follower {
			t.HandleBlock(block)
		}
	}
}

// find adds or changes a block. The caller holds mu.
func (t *Tracker) find(block Block, now time.Time) {
	delete(t.lifted, block.Fingerprint)
	t.found[block.Fingerprint] = activeBlock{Block: block, since: now}
	if len(t.found) > maxBlocks {
		delete(t.found, oldestBlock(t.found))
	}
	t.anyBlock.Store(true)
}

func oldestBlock(blocks map[Fingerprint]activeBlock) Fingerprint {
	var oldest activeBlock
	for _, b := range blocks {
		if oldest.since.IsZero() || b.since.Before(oldest.since) {
			oldest = b
		}
	}
	return oldest.Fingerprint
}

// SetRole sets the role of this host among the hosts.
func (t *Tracker) SetRole(role Role, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case role != Alone:
		t.aloneSince = time.Time{}
	case t.aloneSince.IsZero():
		t.aloneSince = now
	}
	t.role = role
}
