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

// closeTimeout limits the WebSocket closing handshake.
const closeTimeout = 500 * time.Millisecond

// messageType is the WebSocket type of all messages between hosts.
const messageType = websocket.MessageBinary

// conn is the part of a connection that both ends have in common. One goroutine
// reads and another writes. Lock order: the mutex of a connection before that
// of a stream.
type conn struct {
	ws      *websocket.Conn
	socket  *batchConn
	options *Options
	plane   Plane
	remote  record.Member
	traffic *trafficCounters
	tls     *tls.ConnectionState // nil without TLS

	urgent *urgentQueue
	bulk   chan queuedFrame
	done   chan struct{}
	wg     sync.WaitGroup

	// inFlight is the number of calls and requests in flight, and sent the number
	// that this end has sent. goingAway is set after a GOAWAY frame: the connection
	// then takes no new calls and requests.
	inFlight  atomic.Int64
	sent      atomic.Int64
	goingAway atomic.Bool

	failOnce sync.Once
	cause    error // set before done is closed

	monitored monitorState
}

// newConn returns a connection whose goroutines are not started yet.
func newConn(ws *websocket.Conn, socket *batchConn, options *Options) *conn {
	ws.SetReadLimit(int64(options.MaxFrame))
	return &conn{
		ws:      ws,
		socket:  socket,
		options: options,
		traffic: socket.traffic,
		urgent:  newUrgentQueue(),
		bulk:    make(chan queuedFrame, options.QueueLength),
		done:    make(chan struct{}),
	}
}

// fail ends the connection with an error. Only the first call has an effect.
func (c *conn) fail(err error) {
	c.failOnce.Do(func() {
		c.cause = err
		close(c.done)
		c.wg.Go(func() { c.closeSocket(err) })
	})
}

// closeSocket closes the socket. It sends the reason in a close frame unless
// the connection is silent.
func (c *conn) closeSocket(err error) {
	if errors.Is(err, ErrSilent) {
		_ = c.ws.CloseNow()
		return
	}
	_ = c.socket.SetDeadline(time.Now().Add(closeTimeout))
	code, reason := closeStatus(err)
	_ = c.ws.Close(code, reason)
}

// usable reports whether the connection takes new calls and requests.
func (c *conn) usable() bool { return !c.ended() && !c.goingAway.Load() }

// ended reports whether the connection has ended.
func (c *conn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// readLoop passes every frame to handle until the connection ends, and then
// fails the connection with the error. The frame is reused after handle
// returns, but the values it points to are not.
func (c *conn) readLoop(handle func(*frame) error) {
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

// dispatch handles keepalive and GOAWAY frames and passes other frames to
// handle.
func (c *conn) dispatch(f *frame, handle func(*frame) error) error {
	switch f.Kind {
	case kindPing:
		c.sendUrgent(&frame{Kind: kindPong})
	case kindPong:
	case kindGoAway:
		c.goingAway.Store(true)
	default:
		return handle(f)
	}
	return nil
}

// receive reads one frame into f, with buffer as temporary storage.
func (c *conn) receive(ctx context.Context, buffer *bytes.Buffer, f *frame) error {
	typ, reader, err := c.ws.Reader(ctx)
	if err != nil {
		return readError(err)
	}
	if typ != messageType {
		return &BadFrameError{Detail: "not a binary message"}
	}
	if buffer.Cap() > maxPooledBuffer {
		*buffer = bytes.Buffer{}
	}
	buffer.Reset()
	if _, err := buffer.ReadFrom(reader); err != nil {
		return readError(err)
	}
	c.traffic.framesIn.total.Add(1)
	return decode(buffer.Bytes(), f)
}

// readError converts an error of reading from the socket to an error type of
// this package, if one applies.
func readError(err error) error {
	var closed websocket.CloseError
	switch {
	case errors.Is(err, websocket.ErrMessageTooBig):
		return &BadFrameError{Detail: "frame too large"}
	case !errors.As(err, &closed):
		return fmt.Errorf("read: %w", err)
	case closed.Code == statusKey:
		return fmt.Errorf("closed by other host: %w", ErrKeyNotProved)
	case closed.Code == statusHost:
		return fmt.Errorf("closed by other host: %w", ErrHostMismatch)
	case closed.Code == statusOverloaded:
		return fmt.Errorf("closed by other host: %w", ErrOverloaded)
	case closed.Code == websocket.StatusMessageTooBig:
		return &BadFrameError{Detail: "frame too large, says the other host"}
	}
	return fmt.Errorf("closed by other host: %w", closed)
}
