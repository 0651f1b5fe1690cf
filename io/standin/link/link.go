// Package link is a TCP proxy that simulates the network between two programs.
// It delays data and injects faults: it can reset all connections and refuse new
// ones, stall all connections, or stop forwarding on the open connections while
// new ones work.
package link

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Mode is the fault that a link injects.
type Mode string

const (
	// Up forwards all data.
	Up Mode = "up"
	// Cut resets open connections and refuses new ones.
	Cut Mode = "cut"
	// Silent permanently stops forwarding on the connections that are open when
	// the mode is set. New connections work.
	Silent Mode = "silent"
	// Stalled stops forwarding on all connections until the mode changes, like
	// packet loss.
	Stalled Mode = "stalled"
)

// Link forwards connections from its address to an upstream address. It is safe
// for concurrent use. The lock mu guards the fields below it; changed is closed
// and replaced at each change of a mode. The done channel is closed by Close,
// which waits for all goroutines.
type Link struct {
	upstream string
	mux      *http.ServeMux
	done     chan struct{}
	running  sync.WaitGroup

	mu       sync.Mutex
	address  string
	listener net.Listener
	mode     Mode
	sources  map[string]Mode
	delay    time.Duration
	conns    map[*proxyConn]struct{}
	changed  chan struct{}
	closed   bool
	opened   uint64
	bytes    uint64
}

// Option configures a Link.
type Option func(*Link)

// WithDelay sets the delay of data in each direction. The default is 0.
func WithDelay(d time.Duration) Option { return func(l *Link) { l.delay = d } }

// New starts a link that forwards connections to the address listen to the
// address to. The Link is also the http.Handler of its control API.
func New(listen, to string, options ...Option) (*Link, error) {
	l := &Link{
		upstream: to,
		mux:      http.NewServeMux(),
		done:     make(chan struct{}),
		address:  listen,
		mode:     Up,
		sources:  map[string]Mode{},
		conns:    map[*proxyConn]struct{}{},
		changed:  make(chan struct{}),
	}
	for _, option := range options {
		option(l)
	}
	l.mux.HandleFunc("POST /admin/link", l.serveMode)
	l.mux.HandleFunc("GET /admin/link", l.serveState)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.listen(); err != nil {
		return nil, err
	}
	l.address = l.listener.Addr().String()
	return l, nil
}

// ServeHTTP serves the control API: GET and POST /admin/link.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Address returns the address on which the link accepts connections.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Close resets all connections and waits for the link's goroutines to end.
func (l *Link) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.done)
		l.shutdown()
	}
	l.mu.Unlock()
	l.running.Wait()
}

// SetMode sets the mode for all connections and clears the modes of single
// sources. A negative delay leaves the delay unchanged. SetMode returns an error
// if the link is closed or can't listen again after Cut.
func (l *Link) SetMode(mode Mode, delay time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.mode = mode
	clear(l.sources)
	if delay >= 0 {
		l.delay = delay
	}
	defer l.notify()
	if mode == Cut {
		l.shutdown()
		return nil
	}
	l.applyMode(mode, "")
	return l.listen()
}

// SetSourceMode sets the mode for the connections from one IP address. In mode
// Cut, new ones from that address are accepted and reset immediately.
func (l *Link) SetSourceMode(source string, mode Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources[source] = mode
	l.applyMode(mode, source)
	l.notify()
}

// applyMode applies a mode to the open connections from a source. An empty source
// selects all connections.
func (l *Link) applyMode(mode Mode, source string) {
	for open := range l.conns {
		if source != "" && open.source() != source {
			continue
		}
		switch mode {
		case Cut:
			open.reset()
		case Silent:
			open.silent = true
		}
	}
}

// modeOf returns the mode that applies to connections from a source.
func (l *Link) modeOf(source string) Mode {
	if mode, ok := l.sources[source]; ok {
		return mode
	}
	return l.mode
}

// notify wakes the goroutines that wait for a change of mode.
func (l *Link) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// listen starts accepting connections, unless the link already does.
func (l *Link) listen() error {
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return fmt.Errorf("listen for link: %w", err)
	}
	l.listener = listener
	l.running.Go(func() { l.accept(listener) })
	return nil
}

// shutdown stops listening, so that new connections are refused, and resets the
// open ones.
func (l *Link) shutdown() {
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for open := range l.conns {
		open.reset()
	}
}

func (l *Link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		l.handleConn(listener, client)
	}
}

// handleConn starts forwarding a new connection. If the link or its source was cut
// in the meantime, it resets the connection.
func (l *Link) handleConn(listener net.Listener, client net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened := newProxyConn(l, client)
	if l.listener != listener || l.modeOf(opened.source()) == Cut {
		opened.reset()
		return
	}
	l.opened++
	l.conns[opened] = struct{}{}
	l.running.Go(func() {
		opened.proxy()
		l.remove(opened)
	})
}

func (l *Link) remove(conn *proxyConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}
