// Package link is a TCP proxy that stands in for the network between two
// ends: it delays what it carries, and can be cut, stalled, or lose track of
// the connections that are open while new ones work.
package link

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Mode is how the link behaves.
type Mode string

// The modes of a link.
const (
	// Up carries everything.
	Up Mode = "up"
	// Cut resets open connections and refuses new ones.
	Cut Mode = "cut"
	// Silent carries nothing more on the connections open at that moment, for
	// good; new ones work.
	Silent Mode = "silent"
	// Stalled carries nothing on any connection until the mode changes, as
	// lost packets would.
	Stalled Mode = "stalled"
)

// Link carries connections from its address to another. The lock mu guards
// everything below it; changed is closed and replaced at each order. The done
// channel is closed by Close, which waits for all goroutines.
type Link struct {
	to      string
	mux     *http.ServeMux
	done    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	address  string
	listener net.Listener
	mode     Mode
	sources  map[string]Mode
	delay    time.Duration
	pairs    map[*pair]struct{}
	changed  chan struct{}
	closed   bool
	opened   uint64
	bytes    uint64
}

// Option changes a setting of a Link.
type Option func(*Link)

// WithDelay sets how long each byte is under way, one way.
func WithDelay(d time.Duration) Option { return func(l *Link) { l.delay = d } }

// New carries connections made to the address listen on to the address to.
// It is also the http.Handler of its control.
func New(listen, to string, options ...Option) (*Link, error) {
	l := &Link{
		to:      to,
		mux:     http.NewServeMux(),
		done:    make(chan struct{}),
		address: listen,
		mode:    Up,
		sources: map[string]Mode{},
		pairs:   map[*pair]struct{}{},
		changed: make(chan struct{}),
	}
	for _, option := range options {
		option(l)
	}
	l.mux.HandleFunc("POST /admin/link", l.serveOrder)
	l.mux.HandleFunc("GET /admin/link", l.serveState)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.open(); err != nil {
		return nil, err
	}
	l.address = l.listener.Addr().String()
	return l, nil
}

// ServeHTTP answers one request to the link's control.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Address returns the address that the link accepts connections on.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Close resets all connections and waits for the link's goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.done)
		l.shut()
	}
	l.mu.Unlock()
	l.running.Wait()
}

// SetMode changes the mode for all connections, and forgets the modes of single
// sources. The delay changes unless it is negative.
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
	defer l.wake()
	if mode == Cut {
		l.shut()
		return nil
	}
	l.apply(mode, "")
	return l.open()
}

// SetSourceMode changes the mode for the connections from one IP number. While
// they are cut, new ones are accepted and reset at once.
func (l *Link) SetSourceMode(source string, mode Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources[source] = mode
	l.apply(mode, source)
	l.wake()
}

// apply does what a mode does to the connections open at its start. An empty
// source stands for all.
func (l *Link) apply(mode Mode, source string) {
	for open := range l.pairs {
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

// modeOf returns the mode for connections from a source.
func (l *Link) modeOf(source string) Mode {
	if mode, ok := l.sources[source]; ok {
		return mode
	}
	return l.mode
}

// wake tells waiting carriers to look at the mode again.
func (l *Link) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// open accepts connections, if the link doesn't yet.
func (l *Link) open() error {
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

// shut refuses new connections and resets the open ones.
func (l *Link) shut() {
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for open := range l.pairs {
		open.reset()
	}
}

func (l *Link) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		l.admit(listener, near)
	}
}

// admit carries a new connection, unless the link was cut meanwhile.
func (l *Link) admit(listener net.Listener, near net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened := newPair(l, near)
	if l.listener != listener || l.modeOf(opened.source()) == Cut {
		opened.reset()
		return
	}
	l.opened++
	l.pairs[opened] = struct{}{}
	l.running.Go(func() {
		opened.carry()
		l.remove(opened)
	})
}

func (l *Link) remove(ended *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, ended)
}
