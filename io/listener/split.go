package listener

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// leavePollInterval is the time between checks whether a caller has left, while nothing may be read of its connection.
const leavePollInterval = 100 * time.Millisecond

func (c *Conn) setContext(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx = ctx
}

// begin begins a request early, whose head has arrived at a time. The caller holds mu.
func (c *Conn) begin(r *http.Request, arrived time.Time) *early {
	if c.ctx == nil || c.listener.early == nil || c.listener.earlyStopped.Load() || !c.listener.idempotent(r) {
		return nil
	}
	r.RemoteAddr = c.RemoteAddr().String()
	return beginRequest(context.WithValue(c.ctx, arrivalKey{}, arrived), c.listener.early, r)
}

// endEarly cancels the requests that were begun early and not answered, as the connection is
// closed.
func (c *Conn) endEarly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead != nil {
		c.ahead.cancel()
		c.closed = true
		c.signal()
	}
}

// signal wakes a read that waits for a new deadline. The caller holds mu.
func (c *Conn) signal() {
	close(c.deadlineSet)
	c.deadlineSet = make(chan struct{})
}

// readSplit reads data of the current request. While the server handles a request that it has read
// completely, it reads to learn whether the caller leaves: then what follows is read ahead, and
// the read ends with an error only.
func (c *Conn) readSplit(data []byte) (int, error) {
	buffer := data
	for {
		n, room, err := c.passOn(data)
		if n > 0 || err != nil {
			return n, err
		}
		if room == 0 {
			if err := c.awaitEnd(); err != nil {
				return 0, err
			}
			continue
		}
		if len(buffer) <= 1 {
			// The server reads one byte to learn whether the caller leaves.
			buffer = make([]byte, readSize)
		}
		n, err = c.Conn.Read(buffer[:min(room, len(buffer))])
		if err = c.keep(buffer[:n], err); err != nil {
			return 0, err
		}
	}
}

// passOn passes on buffered data of the current request. It returns 0 and the number of bytes that
// may be read if there is none.
func (c *Conn) passOn(data []byte) (n, room int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.ahead
	if c.closed {
		return 0, 0, net.ErrClosed
	}
	if !c.active || !a.whole || !a.body.ended() || a.plain {
		return a.deliver(data), a.missing(), nil
	}
	if !c.responding {
		a.beginEarly()
	}
	if c.frozen {
		return 0, 0, nil
	}
	room = max(maxAhead-len(a.buffered), 0)
	c.readingAhead = room > 0
	return 0, room, nil
}

// SetReadDeadline sets the time at which reads fail, also a read that waits because enough is
// read ahead.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.signal()
	return c.Conn.SetReadDeadline(t)
}

// awaitEnd waits, without reading, for the end of the connection or a new deadline, leavePollInterval at most. It
// returns an error if the caller has closed the connection or the deadline has passed.
func (c *Conn) awaitEnd() error {
	c.mu.Lock()
	set := c.deadlineSet
	c.mu.Unlock()
	if c.deadlinePassed() {
		return os.ErrDeadlineExceeded
	}
	timer := time.NewTimer(leavePollInterval)
	defer timer.Stop()
	select {
	case <-set:
		return nil
	case <-timer.C:
	}
	if c.remoteClosed() {
		return io.EOF
	}
	return nil
}

func (c *Conn) deadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

// keep buffers data that was read. It returns no error if freeze has interrupted the read.
func (c *Conn) keep(data []byte, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted := c.frozen && c.readingAhead && errors.Is(err, os.ErrDeadlineExceeded)
	c.readingAhead = false
	c.readEnded.Broadcast()
	if c.closed {
		return net.ErrClosed
	}
	if len(data) > 0 {
		c.recordData()
		c.ahead.add(data, c.idleSince)
		return nil
	}
	if interrupted {
		return nil
	}
	return err
}
