package peer

import "sync"

const (
	// maxUrgent is how many frames of flow control may wait on a connection.
	maxUrgent = 16 << 10
	// keptUrgent is the room for such frames that is kept when none wait.
	keptUrgent = 64
)

// urgentQueue holds encoded frames that go before all others. It takes memory
// only as it fills, because most connections have none most of the time.
type urgentQueue struct {
	// wake holds a value while there may be frames.
	wake chan struct{}

	mu    sync.Mutex
	items []item
	next  int // index of the first one that waits
}

// newUrgentQueue returns an empty queue.
func newUrgentQueue() *urgentQueue { return &urgentQueue{wake: make(chan struct{}, 1)} }

// push adds a frame. It reports false when too many wait.
func (q *urgentQueue) push(it item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items)-q.next >= maxUrgent {
		return false
	}
	q.items = append(q.items, it)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// pop takes the first frame, if there is one.
func (q *urgentQueue) pop() (item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.next == len(q.items) {
		return item{}, false
	}
	it := q.items[q.next]
	q.items[q.next] = item{}
	q.next++
	if q.next == len(q.items) {
		q.reset()
	}
	return it, true
}

// reset empties the queue, and gives its room back if it is large. The caller
// holds mu.
func (q *urgentQueue) reset() {
	q.items, q.next = q.items[:0], 0
	if cap(q.items) > keptUrgent {
		q.items = nil
	}
}
