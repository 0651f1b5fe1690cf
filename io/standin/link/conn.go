package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Sizes of what is under way on one direction of a connection.
const (
	readBytes   = 64 << 10
	queueChunks = 256
)

// pair is one carried connection: the near one, which the link accepted, and
// the far one, which it made. The link's lock guards silent and far.
type pair struct {
	link   *Link
	near   net.Conn
	done   chan struct{}
	ending sync.Once
	silent bool
	far    net.Conn
}

func newPair(link *Link, near net.Conn) *pair {
	return &pair{link: link, near: near, done: make(chan struct{})}
}

// source returns the IP number that the near connection comes from.
func (p *pair) source() string {
	host, _, _ := net.SplitHostPort(p.near.RemoteAddr().String())
	return host
}

// chunk is data under way. The last one of a direction has none.
type chunk struct {
	data []byte
	due  time.Time
}

// reset ends both connections abruptly. The caller holds the link's lock.
func (p *pair) reset() {
	p.ending.Do(func() { close(p.done) })
	for _, conn := range []net.Conn{p.near, p.far} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

func (p *pair) resetLocked() {
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	p.reset()
}

// carry moves data both ways until both directions ended or one failed.
func (p *pair) carry() {
	defer p.resetLocked()
	if !p.dial() {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.direct(p.near, p.far) })
	both.Go(func() { p.direct(p.far, p.near) })
	both.Wait()
	p.closeBoth()
}

// dial makes the far connection, one delay after the near one was accepted.
func (p *pair) dial() bool {
	if !p.pass(time.Now().Add(p.link.currentDelay())) {
		return false
	}
	far, err := net.Dial("tcp", p.link.to)
	if err != nil {
		return false
	}
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	p.far = far
	select {
	case <-p.done:
		p.reset()
		return false
	default:
		return true
	}
}

// closeBoth ends both connections in good order.
func (p *pair) closeBoth() {
	select {
	case <-p.done:
	default:
		_ = p.near.Close()
		_ = p.far.Close()
	}
}

// direct moves data one way. Reading runs ahead of writing, so that the delay
// costs no bandwidth.
func (p *pair) direct(from, to net.Conn) {
	queue := make(chan chunk, queueChunks)
	var reading sync.WaitGroup
	reading.Go(func() { p.read(from, queue) })
	if err := p.write(to, queue); err != nil {
		p.resetLocked()
	}
	reading.Wait()
}

// read queues what it reads; the queue ends with an empty chunk, or closed
// without one when the connection failed.
func (p *pair) read(from net.Conn, queue chan<- chunk) {
	defer close(queue)
	buffer := make([]byte, readBytes)
	for {
		n, err := from.Read(buffer)
		due := time.Now().Add(p.link.currentDelay())
		if n > 0 && !p.push(queue, chunk{data: append([]byte(nil), buffer[:n]...), due: due}) {
			return
		}
		if errors.Is(err, io.EOF) {
			p.push(queue, chunk{due: due})
		}
		if err != nil {
			return
		}
	}
}

func (p *pair) push(queue chan<- chunk, next chunk) bool {
	select {
	case queue <- next:
		return true
	case <-p.done:
		return false
	}
}

// errBroken is a direction that ended without an end of its data.
var errBroken = errors.New("connection broke")

// write sends the queued chunks when they are due.
func (p *pair) write(to net.Conn, queue <-chan chunk) error {
	for next := range queue {
		if !p.pass(next.due) {
			return errBroken
		}
		if next.data == nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				return tcp.CloseWrite()
			}
			return nil
		}
		if _, err := to.Write(next.data); err != nil {
			return err
		}
		p.link.count(len(next.data))
	}
	return errBroken
}

// pass waits until due and until the link carries this pair's data. It
// reports false when the pair was reset.
func (p *pair) pass(due time.Time) bool {
	if left := time.Until(due); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.done:
			return false
		}
	}
	for {
		open, changed := p.link.carries(p)
		if open {
			return true
		}
		select {
		case <-changed:
		case <-p.done:
			return false
		}
	}
}

// carries reports whether the link carries data of p now, and a channel that
// is closed at the next order.
func (l *Link) carries(p *pair) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !p.silent && l.modeOf(p.source()) != Stalled, l.changed
}

func (l *Link) currentDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

func (l *Link) count(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += uint64(bytes)
}
