package metastore

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/platform"
)

// Update is a batch of records that a host has read of a topic.
type Update struct {
	Topic string `cbor:"1,keyasint"`
	// From is the offset of the first record, Next the one after the last.
	From    int64             `cbor:"2,keyasint"`
	Next    int64             `cbor:"3,keyasint"`
	Records []platform.Record `cbor:"4,keyasint"`
	// Large batches are left out: the other host reads them itself.
	Large bool `cbor:"5,keyasint,omitempty"`
}

// largeBatch is the size in bytes from which a read of the store costs less
// than passing the batch on between failure domains.
const largeBatch = 6 << 10

// trim leaves out the records of a large batch.
func (u Update) trim() Update {
	size := 0
	for _, r := range u.Records {
		size += len(r.Key) + len(r.Value)
	}
	if size > largeBatch {
		u.Records, u.Large = nil, true
	}
	return u
}

// Watermark says that a topic ended at an offset some time ago.
type Watermark struct {
	Topic string        `cbor:"1,keyasint"`
	Next  int64         `cbor:"2,keyasint"`
	Age   time.Duration `cbor:"3,keyasint"`
}

const (
	// coverFor is the age of a mark up to which a host reads nothing itself.
	coverFor = 1400 * time.Millisecond
	// coverPoll is the time between looks at the age of the last mark.
	coverPoll = 100 * time.Millisecond
	// updateQueue is the number of updates that may wait for a link.
	updateQueue = 256
)

// hub passes what this host reads on to its links.
type hub struct {
	mu    sync.Mutex
	links map[chan Update]bool
}

func newHub() *hub { return &hub{links: make(map[chan Update]bool)} }

// publish hands an update to every link. A link that doesn't keep up is closed.
func (h *hub) publish(u Update) {
	u = u.trim()
	h.mu.Lock()
	defer h.mu.Unlock()
	for link := range h.links {
		select {
		case link <- u:
		default:
			delete(h.links, link)
			close(link)
		}
	}
}

func (h *hub) subscribe() chan Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	link := make(chan Update, updateQueue)
	h.links[link] = true
	return link
}

func (h *hub) cancel(link chan Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[link] {
		delete(h.links, link)
		close(link)
	}
}

// Subscribe returns the batches that this host reads from now on. The channel
// is closed when its reader doesn't keep up; cancel must be called at the end.
func (k *Catalog) Subscribe() (updates <-chan Update, cancel func()) {
	link := k.hub.subscribe()
	return link, func() { k.hub.cancel(link) }
}

// Watermarks returns where each topic ended when this host last read it.
func (k *Catalog) Watermarks() []Watermark {
	var marks []Watermark
	now := k.clock.Now()
	for _, f := range k.followers() {
		if next, fresh := f.Position(); next >= 0 {
			marks = append(marks, Watermark{Topic: f.Topic, Next: next, Age: now.Sub(fresh)})
		}
	}
	return marks
}

// Age returns the age of the last proof that nothing of a topic was missed.
func (k *Catalog) Age(topic string) time.Duration {
	for _, f := range k.followers() {
		if f.Topic == topic {
			return f.age()
		}
	}
	return 0
}

// age returns the time since nothing was missed, here or at the host that
// relays.
func (f *Consumer) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.fresh
	if f.proven.After(newest) {
		newest = f.proven
	}
	return f.Clock.Now().Sub(newest)
}

// ApplyRelayed takes what another host has read.
func (k *Catalog) ApplyRelayed(updates []Update, marks []Watermark) {
	for _, f := range k.followers() {
		for _, u := range updates {
			if u.Topic == f.Topic {
				f.relay(u)
			}
		}
		for _, m := range marks {
			if m.Topic == f.Topic {
				f.mark(m)
			}
		}
	}
}

// relay applies the part of a batch that follows what was read here.
func (f *Consumer) relay(u Update) {
	f.applying.Lock()
	defer f.applying.Unlock()
	next, _ := f.Position()
	if next < 0 || u.Next <= next {
		return
	}
	if u.From > next || u.Large {
		f.uncover()
		return
	}
	var fresh []platform.Record
	for _, r := range u.Records {
		if r.Offset >= next {
			fresh = append(fresh, r)
		}
	}
	f.Apply(fresh, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = u.Next
}

// mark notes that nothing was missing here some time ago.
func (f *Consumer) mark(m Watermark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next < 0 || m.Next > f.next {
		f.proven = time.Time{}
		return
	}
	if m.Next < f.next {
		return
	}
	proven := f.Clock.Now().Add(-m.Age)
	if m.Age < coverFor && proven.After(f.proven) {
		f.proven = proven
		f.back()
	}
}

// covered reports whether another host tells this one all there is to read.
func (f *Consumer) covered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock.Now().Sub(f.proven) < coverFor
}

// uncover has this host read by itself.
func (f *Consumer) uncover() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proven = time.Time{}
}

// back notes that the store can be read, here or by another host.
func (f *Consumer) back() {
	f.failing = time.Time{}
	if !f.lost {
		return
	}
	f.lost = false
	f.regained = f.Clock.Now()
	klog.InfoS("Store is reachable again", "topic", f.Topic, "offset", f.next)
}

// RelayActive reports whether the host that leads tells this one of all changes.
func (k *Catalog) RelayActive() bool { return k.ownerFollower.covered() }

// awaitUncovered waits while another host reads for this one.
func (f *Consumer) awaitUncovered(ctx context.Context) {
	for ctx.Err() == nil && f.covered() {
		clock.Sleep(ctx, coverPoll)
	}
}
