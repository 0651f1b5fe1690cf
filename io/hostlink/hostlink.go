// Package hostlink joins the hosts: each tells the one that leads what its
// callers ask for, over WebSocket with CBOR.
package hostlink

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/io/metastore"
)

const (
	// path is where a host takes links.
	path = "/link"
	// dialTimeout and writeTimeout bound one step on a link.
	dialTimeout  = time.Second
	writeTimeout = time.Second
	// silence is the time without a report after which a link is closed.
	silence = 10 * time.Second
	// maxReport is the largest report in bytes.
	maxReport = 1 << 20
	// maxFeed is the largest feed in bytes.
	maxFeed = 16 << 20
	// feedInterval is the time between two feeds without news, feedSpread what
	// each link adds to it, and feedMost its bound: a host is told within the
	// age of marks up to which it reads nothing itself.
	feedInterval = 300 * time.Millisecond
	feedSpread   = 4 * time.Millisecond
	feedMost     = 600 * time.Millisecond
	bufferSize   = 2 << 10
)

// hello is the first message on a link, from the host that took it.
type hello struct {
	// Process is the incarnation of the host's process.
	Process string `cbor:"1,keyasint"`
	// Age is how long the process has run.
	Age time.Duration `cbor:"2,keyasint"`
}

// feed is what a host has read of the platform's store since its last feed.
type feed struct {
	Updates    []metastore.Update    `cbor:"1,keyasint,omitempty"`
	Watermarks []metastore.Watermark `cbor:"2,keyasint,omitempty"`
	// Hosts is the number of hosts that are linked, the sender included.
	Hosts int `cbor:"3,keyasint,omitempty"`
}

// Server takes links of other hosts.
type Server struct {
	process string
	clock   clock.Clock
	started time.Time
	links   atomic.Int64
	// HandleReport is told of each report. It is set before use.
	HandleReport func(owner.Report)
	// Subscribe returns what this host reads from now on, and a function that tells
	// how far it has read. It is set before use.
	Subscribe func() (updates <-chan metastore.Update, cancel func(), marks func() []metastore.Watermark)
}

// NewServer returns a server for a process.
func NewServer(process string, c clock.Clock) *Server {
	return &Server{process: process, clock: c, started: c.Now(), HandleReport: func(owner.Report) {}}
}

// Handler returns the handler of links.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(path, s.take)
	return mux
}

func (s *Server) take(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		klog.InfoS("Link was not taken", "from", r.RemoteAddr, "err", err)
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxReport)
	if err := write(r.Context(), conn, hello{Process: s.process, Age: s.clock.Now().Sub(s.started)}); err != nil {
		klog.InfoS("Link was lost", "from", r.RemoteAddr, "err", err)
		return
	}
	s.links.Add(1)
	defer s.links.Add(-1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	fed := make(chan struct{})
	go func() {
		defer close(fed)
		s.feedLink(ctx, conn)
	}()
	for {
		var message owner.Report
		if err := read(ctx, conn, silence, &message); err != nil {
			break
		}
		s.HandleReport(message)
	}
	cancel()
	<-fed
}

// feedLink passes on what this host reads until the link ends.
func (s *Server) feedLink(ctx context.Context, conn *websocket.Conn) {
	updates, cancel, marks := s.Subscribe()
	defer cancel()
	tick := time.NewTimer(feedInterval)
	defer tick.Stop()
	for {
		var message feed
		select {
		case <-ctx.Done():
			return
		case u, ok := <-updates:
			if !ok {
				_ = conn.CloseNow()
				return
			}
			message.Updates = append(message.Updates, u)
		case <-tick.C:
		}
		tick.Reset(min(feedInterval+time.Duration(s.links.Load())*feedSpread, feedMost))
		// What the marks count must be in this feed or an earlier one.
		message.Watermarks = marks()
		message.Updates = append(message.Updates, waiting(updates)...)
		if len(message.Watermarks) == 0 && len(message.Updates) == 0 {
			continue
		}
		message.Hosts = s.Hosts()
		if err := write(ctx, conn, message); err != nil {
			return
		}
	}
}

// Hosts returns the number of hosts that are linked, this one included.
func (s *Server) Hosts() int { return int(s.links.Load()) + 1 }

// waiting returns the updates that wait already.
func waiting(updates <-chan metastore.Update) []metastore.Update {
	var all []metastore.Update
	for {
		select {
		case u, ok := <-updates:
			if !ok {
				return all
			}
			all = append(all, u)
		default:
			return all
		}
	}
}

// Link is an open link to another host.
type Link struct {
	conn  *websocket.Conn
	hello hello
}

// Dial opens a link to the host at an address.
func Dial(ctx context.Context, address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+path, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: linkTransport()},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "dial host at %s", address)
	}
	conn.SetReadLimit(maxFeed)
	l := &Link{conn: conn}
	if err := read(ctx, conn, dialTimeout, &l.hello); err != nil {
		_ = conn.CloseNow()
		return nil, errors.Wrapf(err, "greeting of host at %s", address)
	}
	return l, nil
}

func linkTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
	}
}

// Process returns the incarnation of the other host's process.
func (l *Link) Process() string { return l.hello.Process }

// Age returns how long the other host's process had run when it took the link.
func (l *Link) Age() time.Duration { return l.hello.Age }

// Report sends what this host saw of its callers' requests.
func (l *Link) Report(ctx context.Context, report owner.Report) error {
	return write(ctx, l.conn, report)
}

// Receive waits for the other host's next feed.
func (l *Link) Receive(ctx context.Context) (Feed, error) {
	var message feed
	if err := read(ctx, l.conn, silence, &message); err != nil {
		return Feed{}, err
	}
	return Feed(message), nil
}

// Feed is what the host that leads tells the others.
type Feed feed

// Close ends the link.
func (l *Link) Close() { _ = l.conn.CloseNow() }

func write(ctx context.Context, conn *websocket.Conn, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message to host")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Wrap(err, "write to host")
	}
	return nil
}

func read(ctx context.Context, conn *websocket.Conn, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, data, err := conn.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read from host")
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "decode message of host")
	}
	return nil
}
