package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"pineturn/core/record"
)

const (
	// urgentQueue is how many frames of flow control may wait on a connection.
	urgentQueue = 1024
	// maxBatchFrames bounds the frames that leave in one batch.
	maxBatchFrames = 64
	// closeTimeout bounds the closing handshake.
	closeTimeout = 500 * time.Millisecond
)

// messageType is that of every message between hosts.
const messageType = websocket.MessageBinary

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

// conn is one connection, of either end. One goroutine reads, another writes.
// Lock order: a connection's own mutex before a stream's.
type conn struct {
	ws      *websocket.Conn
	net     *batchConn
	options *Options
	plane   Plane
	remote  record.Member
	tally   *tally

	urgent chan item
	bulk   chan item
	done   chan struct{}
	wg     sync.WaitGroup

	// busy counts calls and requests in flight.
	busy     atomic.Int64
	draining atomic.Bool

	once  sync.Once
	cause error // set before done is closed

	keep keepState
}

// newConn returns a connection that isn't started yet.
func newConn(ws *websocket.Conn, net *batchConn, options *Options) *conn {
	ws.SetReadLimit(int64(options.MaxFrame))
	return &conn{
		ws:      ws,
		net:     net,
		options: options,
		tally:   net.tally,
		urgent:  make(chan item, urgentQueue),
		bulk:    make(chan item, options.Queue),
		done:    make(chan struct{}),
	}
}

// fail ends the connection for a reason. Only the first call counts.
func (c *conn) fail(err error) {
	c.once.Do(func() {
		c.cause = err
		close(c.done)
		c.wg.Go(func() { c.shut(err) })
	})
}

// shut closes the socket, telling the other host why if it can be told.
func (c *conn) shut(err error) {
	if errors.Is(err, ErrSilent) {
		_ = c.ws.CloseNow()
		return
	}
	_ = c.net.SetDeadline(time.Now().Add(closeTimeout))
	code, reason := closeStatus(err)
	_ = c.ws.Close(code, reason)
}

// alive reports whether the connection takes new calls and requests.
func (c *conn) alive() bool { return !c.ended() && !c.draining.Load() }

// ended reports whether the connection has ended.
func (c *conn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
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

// sendUrgent queues a frame before those of send and waits for room.
func (c *conn) sendUrgent(f *frame) {
	it, ok := c.wrap(f)
	if !ok {
		return
	}
	select {
	case c.urgent <- it:
	case <-c.done:
		recycle(it.buffer)
	}
}

// reply queues a frame from the reading goroutine, which must not wait. A
// host that leaves so much unread loses the connection.
func (c *conn) reply(f *frame) {
	it, ok := c.wrap(f)
	if !ok {
		return
	}
	select {
	case c.urgent <- it:
	default:
		recycle(it.buffer)
		c.fail(ErrOverloaded)
	}
}

// wrap encodes a frame for the queue. A frame of the connection's own that
// can't be encoded ends the connection.
func (c *conn) wrap(f *frame) (item, bool) {
	buffer, err := encode(f)
	if err != nil {
		c.fail(err)
		return item{}, false
	}
	return item{buffer: buffer}, true
}

// write writes queued frames until the connection ends.
func (c *conn) write() {
	for {
		var it item
		select {
		case <-c.done:
			return
		case it = <-c.urgent:
		case it = <-c.bulk:
		}
		if err := c.writeBatch(it); err != nil {
			c.fail(fmt.Errorf("write: %w", err))
			return
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
		if n == maxBatchFrames || !c.poll(&it) {
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

// poll fetches the next queued frame without waiting.
func (c *conn) poll(it *item) bool {
	select {
	case *it = <-c.urgent:
		return true
	default:
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

// read hands every frame to handle until the connection ends, and fails it
// with the error that ended it.
func (c *conn) read(handle func(*frame) error) {
	var buffer bytes.Buffer
	for {
		f, err := c.receive(context.Background(), &buffer)
		if err == nil {
			err = c.dispatch(f, handle)
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// dispatch answers keepalives and hands other frames to handle.
func (c *conn) dispatch(f *frame, handle func(*frame) error) error {
	switch f.Kind {
	case kindPing:
		c.reply(&frame{Kind: kindPong})
	case kindPong:
	case kindGoAway:
		c.draining.Store(true)
	default:
		return handle(f)
	}
	return nil
}

// receive reads one frame. Buffer holds its bytes meanwhile.
func (c *conn) receive(ctx context.Context, buffer *bytes.Buffer) (*frame, error) {
	typ, reader, err := c.ws.Reader(ctx)
	if err != nil {
		return nil, readError(err)
	}
	if typ != messageType {
		return nil, &BadFrame{Detail: "not a binary message"}
	}
	if buffer.Cap() > maxPooled {
		*buffer = bytes.Buffer{}
	}
	buffer.Reset()
	if _, err := buffer.ReadFrom(reader); err != nil {
		return nil, readError(err)
	}
	c.tally.framesIn.total.Add(1)
	return decode(buffer.Bytes())
}

// readError types an error of reading from the socket.
func readError(err error) error {
	var closed websocket.CloseError
	switch {
	case errors.Is(err, websocket.ErrMessageTooBig):
		return &BadFrame{Detail: "frame too large"}
	case !errors.As(err, &closed):
		return fmt.Errorf("read: %w", err)
	case closed.Code == statusKey:
		return fmt.Errorf("closed by other host: %w", ErrKey)
	case closed.Code == statusOverloaded:
		return fmt.Errorf("closed by other host: %w", ErrOverloaded)
	case closed.Code == websocket.StatusMessageTooBig:
		return &BadFrame{Detail: "frame too large, says the other host"}
	}
	return fmt.Errorf("closed by other host: %w", closed)
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
	buffer, err := encode(f)
	if err != nil {
		return err
	}
	if err := c.send(ctx, item{buffer: buffer}); err != nil {
		recycle(buffer)
		return err
	}
	return nil
}
