package peer

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
)

// maxBatchFrames is the maximum number of frames in a batch.
const maxBatchFrames = 64

// sendState records whether the writer has started to send a frame or the sender of
// the frame has cancelled it, whichever comes first.
type sendState struct{ value atomic.Uint32 }

const (
	sendQueued uint32 = iota
	sendStarted
	sendCancelled
)

// startSend reports whether the writer may write the frame. The frame can no
// longer be cancelled then.
func (s *sendState) startSend() bool { return s.value.CompareAndSwap(sendQueued, sendStarted) }

// cancelSend cancels the frame unless the writer has started to send it. If it
// returns true, no part of the frame is ever written to the network.
func (s *sendState) cancelSend() bool {
	return s.value.CompareAndSwap(sendQueued, sendCancelled) || s.value.Load() == sendCancelled
}

// queuedFrame is an entry of a write queue. If flushed is nil, the entry is an
// encoded frame; the field state is nil if the frame cannot be cancelled.
// Otherwise the entry has no frame, and flushed is closed after everything
// queued before it was written.
type queuedFrame struct {
	buffer  *bytes.Buffer
	state   *sendState
	flushed chan struct{}
}

// enqueue adds a frame to the write queue. It waits while the queue is full.
func (c *conn) enqueue(ctx context.Context, queued queuedFrame) error {
	select {
	case c.bulk <- queued:
		return nil
	case <-c.done:
		return c.cause
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendUrgent queues a frame ahead of the frames in the write queue. It does not
// wait: if too many urgent frames are queued because the other host does not
// read them, the connection is closed.
func (c *conn) sendUrgent(f *frame) {
	buffer, err := c.encodeLimited(f)
	if err != nil {
		c.fail(err)
		return
	}
	if !c.urgent.push(queuedFrame{buffer: buffer}) {
		recycle(buffer)
		c.fail(ErrOverloaded)
	}
}

// encodeLimited encodes a frame. It returns errTooLarge if the frame exceeds
// Options.MaxFrame, which the other host would reject.
func (c *conn) encodeLimited(f *frame) (*bytes.Buffer, error) {
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

// writeLoop writes queued frames until the connection ends.
func (c *conn) writeLoop() {
	for {
		queued, ok := c.nextFrame()
		if !ok {
			return
		}
		if err := c.writeBatch(queued); err != nil {
			c.fail(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// nextFrame waits for a frame. It returns false if the connection has ended.
func (c *conn) nextFrame() (queuedFrame, bool) {
	for {
		select {
		case <-c.done:
			return queuedFrame{}, false
		case queued := <-c.bulk:
			return queued, true
		case <-c.urgent.ready:
			if queued, ok := c.urgent.pop(); ok {
				return queued, true
			}
		}
	}
}

// writeBatch writes a frame and the frames queued after it as one batch.
func (c *conn) writeBatch(queued queuedFrame) error {
	c.socket.startBatch()
	var flushed []chan struct{}
	for n := 1; ; n++ {
		if queued.flushed != nil {
			flushed = append(flushed, queued.flushed)
		} else if err := c.writeQueued(queued); err != nil {
			_ = c.socket.flushBatch()
			return err
		}
		if n == maxBatchFrames || !c.fetchMore(&queued) {
			break
		}
	}
	if err := c.socket.flushBatch(); err != nil {
		return err
	}
	for _, ch := range flushed {
		close(ch)
	}
	return nil
}

// fetchMore fetches the next queued frame. If the queue is empty and several
// calls or requests are in flight, it yields once to other goroutines, because
// they may queue frames for the same batch.
func (c *conn) fetchMore(queued *queuedFrame) bool {
	if c.fetchQueued(queued) {
		return true
	}
	if c.inFlight.Load() < 2 {
		return false
	}
	runtime.Gosched()
	return c.fetchQueued(queued)
}

// fetchQueued fetches the next queued frame without waiting.
func (c *conn) fetchQueued(queued *queuedFrame) bool {
	if urgent, ok := c.urgent.pop(); ok {
		*queued = urgent
		return true
	}
	select {
	case *queued = <-c.bulk:
		return true
	default:
		return false
	}
}

// writeQueued writes a frame unless its sender has cancelled it.
func (c *conn) writeQueued(queued queuedFrame) error {
	defer recycle(queued.buffer)
	if queued.state != nil && !queued.state.startSend() {
		return nil
	}
	c.traffic.framesOut.total.Add(1)
	return c.ws.Write(context.Background(), messageType, queued.buffer.Bytes())
}

// waitFlushed waits until all previously queued frames have been written.
func (c *conn) waitFlushed(ctx context.Context) {
	flushed := make(chan struct{})
	if c.enqueue(ctx, queuedFrame{flushed: flushed}) != nil {
		return
	}
	select {
	case <-flushed:
	case <-c.done:
	case <-ctx.Done():
	}
}

// sendFrame encodes a frame and adds it to the write queue.
func (c *conn) sendFrame(ctx context.Context, f *frame) error {
	buffer, err := c.encodeLimited(f)
	if err != nil {
		return err
	}
	if err := c.enqueue(ctx, queuedFrame{buffer: buffer}); err != nil {
		recycle(buffer)
		return err
	}
	return nil
}
