package socket

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pineturn/core/clock"
)

const (
	// settleTime is how long the end of a request may be in the buffer of its transport after the transport has
	// written the request there.
	settleTime = 5 * time.Millisecond
	// endPollInterval is the time between checks whether what was sent has arrived.
	endPollInterval = time.Millisecond
)

// errBrokenOff means that the other end has ended a connection before it has received all that was sent to it.
var errBrokenOff = fmt.Errorf("connection ended before the request had arrived: %w", syscall.ECONNRESET)

// trackedConn is a connection that remembers a mark, and what is being sent on it. A write that meets a reset takes its
// error away from reads, which then report the end of the data as if the other end had closed the connection in
// order. A response without a length would look complete. So a read reports the end only once all that was
// sent has arrived, and errBrokenOff if it has not.
type trackedConn struct {
	net.Conn
	// openedAt is when it was opened.
	openedAt  time.Time
	marked    atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// requests is the number of requests so far; idle is set while none uses the connection.
	requests int
	idle     bool
	// requesting is set while a request is being written, of which some may not have been passed to Write yet.
	// writtenAt is when the last one was.
	requesting bool
	writtenAt  time.Time
	// writes is the number of calls of Write in progress, writeErr the first error of one.
	writes   int
	writeErr error
}

// Tracked returns a function that opens connections as dial does, for use with a Use. Their reads report the end
// only if the other end has received all that was sent.
func Tracked(dial DialFunc) DialFunc { return TrackedBy(clock.System{}, dial) }

// TrackedBy is Tracked with a clock, by which Use.OpenedAt tells when a connection was opened.
func TrackedBy(clk clock.Clock, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn, openedAt: clk.Now(), closed: make(chan struct{})}, nil
	}
}

// Write writes data, and remembers an error.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads data. At the end of the data, while a request uses the connection, it waits until all that was sent has
// arrived.
func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = c.awaitSent()
	}
	return n, err
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// awaitSent waits until the other end, which sends nothing more, has received all that was sent, and returns io.EOF, or
// an error if that will not happen.
func (c *trackedConn) awaitSent() error {
	for {
		switch c.sendState() {
		case unused:
			return io.EOF
		case failed:
			return errBrokenOff
		case passedOn:
			switch unsent, open := sendQueue(c.Conn); {
			case !open:
				return errBrokenOff
			case unsent == 0:
				return io.EOF
			}
		case sending:
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(endPollInterval):
		}
	}
}

// sendState tells how far a request on a connection is.
type sendState int

const (
	// unused means that there is none.
	unused sendState = iota
	// sending means that more may be written, failed that it could not be.
	sending
	failed
	// passedOn means that all was passed on to the kernel.
	passedOn
)

func (c *trackedConn) sendState() sendState {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.idle:
		return unused
	case c.writeErr != nil:
		return failed
	case c.requesting || c.writes > 0 || time.Since(c.writtenAt) < settleTime:
		return sending
	}
	return passedOn
}

// beginRequest records that a request is about to be written, and returns its number.
func (c *trackedConn) beginRequest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.idle, c.requesting = false, true
	return c.requests
}

// release records that the request with a number does not use the connection any more. Another one may do so already.
func (c *trackedConn) release(request int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = c.idle || request == c.requests
}

// endRequest records that a request was written, or could not be.
func (c *trackedConn) endRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requesting, c.writtenAt = false, time.Now()
	if c.writeErr == nil {
		c.writeErr = err
	}
}
