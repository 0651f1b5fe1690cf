package peer

import "sync"

const (
	// maxUrgentFrames is the maximum number of urgent frames in the queue of a
	// connection.
	maxUrgentFrames = 16 << 10
	// retainedUrgentFrames is the maximum capacity, in frames, that an empty queue
	// retains.
	retainedUrgentFrames = 64
)

// urgentQueue is a queue of encoded frames that are written before all others.
// It allocates memory on demand, because the queues of most connections are
// empty most of the time.
type urgentQueue struct {
	// ready receives a value when a frame is added.
	ready chan struct{}

	mu     sync.Mutex
	frames []queuedFrame
	first  int // index of the first queued frame
}

// newUrgentQueue returns an empty queue.
func newUrgentQueue() *urgentQueue { return &urgentQueue{ready: make(chan struct{}, 1)} }

// push adds a frame. It returns false if the queue is full.
func (q *urgentQueue) push(queued queuedFrame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames)-q.first >= maxUrgentFrames {
		return false
	}
	q.frames = append(q.frames, queued)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// pop removes and returns the first frame, if any.
func (q *urgentQueue) pop() (queuedFrame, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.first == len(q.frames) {
		return queuedFrame{}, false
	}
	queued := q.frames[q.first]
	q.frames[q.first] = queuedFrame{}
	q.first++
	if q.first == len(q.frames) {
		q.reset()
	}
	return queued, true
}

// reset empties the queue and releases its memory if the capacity exceeds
// retainedUrgentFrames. The caller must hold mu.
func (q *urgentQueue) reset() {
	q.frames, q.first = q.frames[:0], 0
	if cap(q.frames) > retainedUrgentFrames {
		q.frames = nil
	}
}
