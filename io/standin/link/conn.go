package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Buffer sizes of one direction of a connection: the size of a read, and the
// number of chunks queued until their delay ends.
const (
	readBytes    = 64 << 10
	queuedChunks = 256
)

// proxyConn is one proxied connection: the client connection, which the link
// accepted, and the upstream connection, which the link dialled. The link's lock
// guards silent and upstream. The done channel is closed by reset.
type proxyConn struct {
	link      *Link
	client    net.Conn
	done      chan struct{}
	resetOnce sync.Once
	silent    bool
	upstream  net.Conn
}

func newProxyConn(link *Link, client net.Conn) *proxyConn {
	return &proxyConn{link: link, client: client, done: make(chan struct{})}
}

// source returns the IP address of the client.
func (p *proxyConn) source() string {
	host, _, _ := net.SplitHostPort(p.client.RemoteAddr().String())
	return host
}

// chunk is queued data of one direction and the time at which it is sent. A chunk
// without data marks the end of the direction.
type chunk struct {
	data []byte
	due  time.Time
}

// reset closes both connections with a TCP reset. The caller holds the link's
// lock.
func (p *proxyConn) reset() {
	p.resetOnce.Do(func() { close(p.done) })
	for _, conn := range []net.Conn{p.client, p.upstream} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

func (p *proxyConn) lockAndReset() {
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	p.reset()
}

// proxy forwards data in both directions until both have ended or one fails.
func (p *proxyConn) proxy() {
	defer p.lockAndReset()
	if !p.dial() {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(p.client, p.upstream) })
	directions.Go(func() { p.forward(p.upstream, p.client) })
	directions.Wait()
	p.closeBoth()
}

// dial opens the upstream connection, one link delay after the client connection
// was accepted. It returns false if the dial fails or the connection was reset.
func (p *proxyConn) dial() bool {
	if !p.waitDue(time.Now().Add(p.link.currentDelay())) {
		return false
	}
	upstream, err := net.Dial("tcp", p.link.upstream)
	if err != nil {
		return false
	}
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	p.upstream = upstream
	select {
	case <-p.done:
		p.reset()
		return false
	default:
		return true
	}
}

// closeBoth closes both connections without a reset, unless they were reset.
func (p *proxyConn) closeBoth() {
	select {
	case <-p.done:
	default:
		_ = p.client.Close()
		_ = p.upstream.Close()
	}
}

// forward copies data in one direction. Reads continue while earlier data waits
// for its delay, so that the delay does not reduce the bandwidth.
func (p *proxyConn) forward(from, to net.Conn) {
	queue := make(chan chunk, queuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() { p.read(from, queue) })
	if err := p.write(to, queue); err != nil {
		p.lockAndReset()
	}
	reader.Wait()
}

// read queues data until EOF or an error, and closes the queue. At EOF the last
// chunk is one without data.
func (p *proxyConn) read(from net.Conn, queue chan<- chunk) {
	defer close(queue)
	buffer := make([]byte, readBytes)
	for {
		n, err := from.Read(buffer)
		due := time.Now().Add(p.link.currentDelay())
		if n > 0 && !p.enqueue(queue, chunk{data: append([]byte(nil), buffer[:n]...), due: due}) {
			return
		}
		if errors.Is(err, io.EOF) {
			p.enqueue(queue, chunk{due: due})
		}
		if err != nil {
			return
		}
	}
}

// enqueue returns false if the connection was reset before the chunk was queued.
func (p *proxyConn) enqueue(queue chan<- chunk, next chunk) bool {
	select {
	case queue <- next:
		return true
	case <-p.done:
		return false
	}
}

// errNoEOF is returned if a direction ended before EOF.
var errNoEOF = errors.New("connection closed before EOF")

// write sends the queued chunks when they are due. It shuts down the write side
// of to at the chunk that marks EOF.
func (p *proxyConn) write(to net.Conn, queue <-chan chunk) error {
	for next := range queue {
		if !p.waitDue(next.due) {
			return errNoEOF
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
		p.link.addBytes(len(next.data))
	}
	return errNoEOF
}

// waitDue waits until due and until the link's mode lets data of p through. It
// returns false if the connection was reset.
func (p *proxyConn) waitDue(due time.Time) bool {
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
		open, changed := p.link.forwards(p)
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

// forwards reports whether the link currently forwards data of p. The channel is
// closed at the next change of a mode.
func (l *Link) forwards(p *proxyConn) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !p.silent && l.modeOf(p.source()) != Stalled, l.changed
}

func (l *Link) currentDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

func (l *Link) addBytes(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += uint64(bytes)
}
