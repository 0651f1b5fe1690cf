package peer

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
)

// maxBatchFrames bounds the frames that leave in one batch.
const maxBatchFrames = 64

// claim decides who has a frame: the writer that takes it, or the sender that
// withdraws it before.
type claim struct{ state atomic.Uint32 }

const (
	claimQueued uint32 = iota
	claimTaken
	claimWithdrawn
)

// take reports whether the writer now has the frame.
func (c *claim) take() bool { return c.state.CompareAndSwap(claimQueued, claimTaken) }

// withdraw reports whether the frame certainly never reaches the network.
func (c *claim) withdraw() bool {
	return c.state.CompareAndSwap(claimQueued, claimWithdrawn) || c.state.Load() == claimWithdrawn
}

// item is an encoded frame that waits to be written. Claim may be nil.
// Flushed, if set, is closed once everything before the item was written.
type item struct {
	buffer  *bytes.Buffer
	claim   *claim
	flushed chan struct{}
}

// send queues a frame behind the others. It waits for room in the queue.
func (c *conn) send(ctx context.Context, it item) error {
	select {
	case c.bulk <- it:
		return nil
	case <-c.done:
		return c.cause
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendUrgent queues a frame before those of send, without waiting. A host that
// leaves too much unread loses the connection.
func (c *conn) sendUrgent(f *frame) {
	buffer, err := c.pack(f)
	if err != nil {
		c.fail(err)
		return
	}
	if !c.urgent.push(item{buffer: buffer}) {
		recycle(buffer)
		c.fail(ErrOverloaded)
	}
}

// pack encodes a frame that the other host will accept by its size.
func (c *conn) pack(f *frame) (*bytes.Buffer, error) {
	buffer, err := encode(f)
	if err != nil {
		return nil, err
	}
	if buffer.Len() > c.options.MaxFrame {
		defer recycle(buffer)
		return nil, fmt.Errorf("%w: %d bytes, at most %d", errTooLarge, buffer.Len(), c.options.MaxFrame)
	}
	return buffer, nil
}

// write writes queued frames until the connection ends.
func (c *conn) write() {
	for {
		it, ok := c.next()
		if !ok {
			return
		}
		if err := c.writeBatch(it); err != nil {
			c.fail(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// next waits for a frame. It reports false when the connection has ended.
func (c *conn) next() (item, bool) {
	for {
		select {
		case <-c.done:
			return item{}, false
		case it := <-c.bulk:
			return it, true
		case <-c.urgent.wake:
			if it, ok := c.urgent.pop(); ok {
				return it, true
			}
		}
	}
}

// writeBatch writes a frame and those that wait behind it.
func (c *conn) writeBatch(it item) error {
	c.net.hold()
	var flushed []chan struct{}
	for n := 1; ; n++ {
		if it.flushed != nil {
			flushed = append(flushed, it.flushed)
		} else if err := c.writeItem(it); err != nil {
			_ = c.net.release()
			return err
		}
		if n == maxBatchFrames || !c.more(&it) {
			break
		}
	}
	if err := c.net.release(); err != nil {
		return err
	}
	for _, ch := range flushed {
		close(ch)
	}
	return nil
}

// more fetches the next queued frame. When others are in flight it lets them
// run first, because their frames may then leave in the same batch.
func (c *conn) more(it *item) bool {
	if c.poll(it) {
		return true
	}
	if c.busy.Load() < 2 {
		return false
	}
	runtime.Gosched()
	return c.poll(it)
}

// poll fetches the next queued frame without waiting.
func (c *conn) poll(it *item) bool {
	if urgent, ok := c.urgent.pop(); ok {
		*it = urgent
		return true
	}
	select {
	case *it = <-c.bulk:
		return true
	default:
		return false
	}
}

// writeItem writes one frame unless its sender has withdrawn it.
func (c *conn) writeItem(it item) error {
	defer recycle(it.buffer)
	if it.claim != nil && !it.claim.take() {
		return nil
	}
	c.tally.framesOut.total.Add(1)
	return c.ws.Write(context.Background(), messageType, it.buffer.Bytes())
}

// flush waits until everything queued before has been written.
func (c *conn) flush(ctx context.Context) {
	flushed := make(chan struct{})
	if c.send(ctx, item{flushed: flushed}) != nil {
		return
	}
	select {
	case <-flushed:
	case <-c.done:
	case <-ctx.Done():
	}
}

// post encodes a frame and queues it behind the others.
func (c *conn) post(ctx context.Context, f *frame) error {
	buffer, err := c.pack(f)
	if err != nil {
		return err
	}
	if err := c.send(ctx, item{buffer: buffer}); err != nil {
		recycle(buffer)
		return err
	}
	return nil
}
