package gateway

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pineturn/io/socket"
)

// cutMode is what happens to the connections of a host whose path to the targets
// is cut.
type cutMode string

const (
	// hang delays reads and writes until the heal, and dials until their timeout.
	hang cutMode = "hang"
	// reset closes open connections and refuses new ones.
	reset cutMode = "reset"
	// refuse keeps open connections and refuses new ones.
	refuse cutMode = "refuse"
)

// The timeouts of the dialers of packages proxy and coordinator.
const (
	requestDialTimeout = 300 * time.Millisecond
	orderDialTimeout   = 400 * time.Millisecond
)

// cut can cut the path of one host to all targets.
type cut struct {
	// requestWrites is the number of writes that reached a target on connections for
	// requests.
	requestWrites atomic.Int64
	// failedDials is the number of dials that failed because of the cut.
	failedDials atomic.Int64

	mu   sync.Mutex
	mode cutMode
	// healed is closed at the heal; it is nil while the path is whole.
	healed chan struct{}
	conns  map[*cutConn]bool
}

// newCut returns a cut on the path of g to the targets, which is whole. It must be
// called before Run.
func newCut(g *Gateway) *cut {
	c := &cut{conns: make(map[*cutConn]bool)}
	g.pool.Dial = c.wrap(g.pool.Dial, requestDialTimeout, &c.requestWrites)
	g.coordinator.Dial = c.wrap(g.coordinator.Dial, orderDialTimeout, new(atomic.Int64))
	return c
}

// start cuts the path.
func (c *cut) start(mode cutMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode, c.healed = mode, make(chan struct{})
	if mode == reset {
		for conn := range c.conns {
			conn.reset()
		}
	}
}

// heal makes the path whole. It does nothing if the path is whole.
func (c *cut) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healed != nil {
		close(c.healed)
	}
	c.mode, c.healed = "", nil
}

func (c *cut) state() (cutMode, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode, c.healed
}

// wrap returns a dial function that is subject to the cut. Each write on its
// connections is added to writes.
func (c *cut) wrap(dial socket.DialFunc, timeout time.Duration, writes *atomic.Int64) socket.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		switch mode, healed := c.state(); mode {
		case reset, refuse:
			return nil, c.dialError(network, os.NewSyscallError("connect", syscall.ECONNREFUSED))
		case hang:
			select {
			case <-healed:
			case <-ctx.Done():
				return nil, c.dialError(network, ctx.Err())
			case <-time.After(timeout):
				return nil, c.dialError(network, os.ErrDeadlineExceeded)
			}
		}
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.add(inner, writes), nil
	}
}

func (c *cut) dialError(network string, err error) error {
	c.failedDials.Add(1)
	return &net.OpError{Op: "dial", Net: network, Err: err}
}

// add returns inner as a connection that is subject to the cut.
func (c *cut) add(inner net.Conn, writes *atomic.Int64) *cutConn {
	conn := &cutConn{Conn: inner, cut: c, writes: writes, closed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = true
	if c.mode == reset {
		conn.reset()
	}
	return conn
}

func (c *cut) remove(conn *cutConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// cutConn is a connection to a target. Read and Write may each be called by one
// goroutine at a time.
type cutConn struct {
	net.Conn
	cut       *cut
	writes    *atomic.Int64
	wasReset  atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time

	// buffer and readErr are what was read from Conn and not yet returned.
	buffer  []byte
	readErr error
}

// reset closes the connection such that both ends see a reset.
func (c *cutConn) reset() {
	c.wasReset.Store(true)
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Read returns data that arrived during a hang only after the heal.
func (c *cutConn) Read(p []byte) (int, error) {
	if len(c.buffer) == 0 && c.readErr == nil {
		data := make([]byte, len(p))
		n, err := c.Conn.Read(data)
		c.buffer, c.readErr = data[:n], err
	}
	if err := c.wait("read", &c.readDeadline); err != nil {
		return 0, err
	}
	n := copy(p, c.buffer)
	c.buffer = c.buffer[n:]
	if len(c.buffer) > 0 {
		return n, nil
	}
	err := c.readErr
	c.readErr = nil
	return n, c.replaceError("read", err)
}

// Write sends nothing during a hang.
func (c *cutConn) Write(p []byte) (int, error) {
	if err := c.wait("write", &c.writeDeadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err == nil {
		c.writes.Add(1)
	}
	return n, c.replaceError("write", err)
}

// wait returns at the end of a hang, or with an error once the connection is closed
// or the deadline has passed. The deadline is read at its start.
func (c *cutConn) wait(op string, deadline *time.Time) error {
	mode, healed := c.cut.state()
	if mode != hang {
		return nil
	}
	c.mu.Lock()
	at := *deadline
	c.mu.Unlock()
	var expired <-chan time.Time
	if !at.IsZero() {
		expired = time.After(time.Until(at))
	}
	select {
	case <-healed:
		return nil
	case <-c.closed:
		return &net.OpError{Op: op, Net: "tcp", Err: net.ErrClosed}
	case <-expired:
		return &net.OpError{Op: op, Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
}

// replaceError returns the error of a reset connection in place of one that says
// that it was closed.
func (c *cutConn) replaceError(op string, err error) error {
	if err == nil || !c.wasReset.Load() {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, syscall.ECONNRESET)}
}

// Close closes the connection and ends a Read or Write that waits.
func (c *cutConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.cut.remove(c)
	return c.Conn.Close()
}

func (c *cutConn) SetDeadline(at time.Time) error {
	c.mu.Lock()
	c.readDeadline, c.writeDeadline = at, at
	c.mu.Unlock()
	return c.Conn.SetDeadline(at)
}

func (c *cutConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	c.readDeadline = at
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(at)
}

func (c *cutConn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	c.writeDeadline = at
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(at)
}
