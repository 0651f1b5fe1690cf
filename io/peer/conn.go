package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"pineturn/core/record"
)

// closeTimeout bounds the closing handshake.
const closeTimeout = 500 * time.Millisecond

// messageType is that of every message between hosts.
const messageType = websocket.MessageBinary

// conn is one connection, of either end. One goroutine reads, another writes.
// Lock order: a connection's own mutex before a stream's.
type conn struct {
	ws      *websocket.Conn
	net     *batchConn
	options *Options
	plane   Plane
	remote  record.Member
	tally   *tally
	tls     *tls.ConnectionState // nil without TLS

	urgent *urgentQueue
	bulk   chan item
	done   chan struct{}
	wg     sync.WaitGroup

	// busy counts calls and requests in flight, asked all that this end sent.
	busy     atomic.Int64
	asked    atomic.Int64
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
		urgent:  newUrgentQueue(),
		bulk:    make(chan item, options.QueueLength),
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

// read hands every frame to handle until the connection ends, and fails it
// with the error that ended it. The frame is used again after handle returns;
// what it points to is not.
func (c *conn) read(handle func(*frame) error) {
	var (
		buffer bytes.Buffer
		f      frame
	)
	for {
		err := c.receive(context.Background(), &buffer, &f)
		if err == nil {
			err = c.dispatch(&f, handle)
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
		c.sendUrgent(&frame{Kind: kindPong})
	case kindPong:
	case kindGoAway:
		c.draining.Store(true)
	default:
		return handle(f)
	}
	return nil
}

// receive reads one frame into f. Buffer holds its bytes meanwhile.
func (c *conn) receive(ctx context.Context, buffer *bytes.Buffer, f *frame) error {
	typ, reader, err := c.ws.Reader(ctx)
	if err != nil {
		return readError(err)
	}
	if typ != messageType {
		return &BadFrame{Detail: "not a binary message"}
	}
	if buffer.Cap() > maxPooled {
		*buffer = bytes.Buffer{}
	}
	buffer.Reset()
	if _, err := buffer.ReadFrom(reader); err != nil {
		return readError(err)
	}
	c.tally.framesIn.total.Add(1)
	return decode(buffer.Bytes(), f)
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
		return fmt.Errorf("closed by other host: %w", ErrKeyNotProved)
	case closed.Code == statusHost:
		return fmt.Errorf("closed by other host: %w", ErrHostMismatch)
	case closed.Code == statusOverloaded:
		return fmt.Errorf("closed by other host: %w", ErrOverloaded)
	case closed.Code == websocket.StatusMessageTooBig:
		return &BadFrame{Detail: "frame too large, says the other host"}
	}
	return fmt.Errorf("closed by other host: %w", closed)
}
