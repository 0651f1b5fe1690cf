// Package hostlink connects each host to the leader over WebSocket with CBOR. The
// host reports what it observes of its callers' requests, and the leader relays
// what it reads from the platform's store.
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
	// path is the URL path at which a host accepts links.
	path = "/link"
	// dialTimeout bounds the dialing of a link together with the read of the hello
	// message.
	dialTimeout = time.Second
	// writeTimeout bounds the write of one message.
	writeTimeout = time.Second
	// readTimeout is the time without a message from the other host after which
	// a link is closed.
	readTimeout = 10 * time.Second
	// maxReportBytes is the largest encoded report, in bytes.
	maxReportBytes = 1 << 20
	// maxFeedBytes is the largest encoded feed message, in bytes.
	maxFeedBytes = 16 << 20
	// feedInterval is the time between two feed messages without updates, before
	// feedIntervalPerLink is added.
	feedInterval = 300 * time.Millisecond
	// feedIntervalPerLink is the time that each link adds to feedInterval.
	feedIntervalPerLink = 4 * time.Millisecond
	// maxFeedInterval bounds the time between two feed messages. It is below the
	// age of watermarks up to which a host does not read from the store.
	maxFeedInterval = 600 * time.Millisecond
	// bufferSize is the size of a connection's read and write buffers, in bytes.
	bufferSize = 2 << 10
)

// hello is the first message on a link. The host that accepted the link sends it.
type hello struct {
	// Incarnation is the incarnation of the host's process.
	Incarnation string `cbor:"1,keyasint"`
	// Age is the time since the process started.
	Age time.Duration `cbor:"2,keyasint"`
}

// feedMessage is what the sender has read from the store since its last feed.
// Watermarks are set only if the sender is the leader.
type feedMessage struct {
	Updates    []metastore.Update    `cbor:"1,keyasint,omitempty"`
	Watermarks []metastore.Watermark `cbor:"2,keyasint,omitempty"`
	// Hosts is the number of linked hosts, including the sender.
	Hosts int `cbor:"3,keyasint,omitempty"`
}

// Server accepts links of other hosts.
type Server struct {
	incarnation string
	clock       clock.Clock
	started     time.Time
	links       atomic.Int64
	// HandleReport is called with each report. It is set before use.
	HandleReport func(owner.Report)
	// Subscribe returns a channel of what this host reads from now on, and a
	// function that returns the current watermarks, or nil if this host is not the
	// leader. It is set before use.
	Subscribe func() (updates <-chan metastore.Update, cancel func(), watermarks func() []metastore.Watermark)
}

// NewServer returns a server for the given incarnation of a host's process.
func NewServer(incarnation string, clk clock.Clock) *Server {
	return &Server{incarnation: incarnation, clock: clk, started: clk.Now(), HandleReport: func(owner.Report) {}}
}

// Handler returns the HTTP handler that accepts links.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(path, s.serveLink)
	return mux
}

func (s *Server) serveLink(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		klog.InfoS("Failed to accept a host link", "from", r.RemoteAddr, "err", err)
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxReportBytes)
	if err := write(r.Context(), conn, hello{Incarnation: s.incarnation, Age: s.clock.Now().Sub(s.started)}); err != nil {
		klog.InfoS("Failed to send the hello on a host link", "from", r.RemoteAddr, "err", err)
		return
	}
	s.links.Add(1)
	defer s.links.Add(-1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	feedsDone := make(chan struct{})
	go func() {
		defer close(feedsDone)
		s.sendFeeds(ctx, conn)
	}()
	for {
		var message owner.Report
		if err := read(ctx, conn, readTimeout, &message); err != nil {
			break
		}
		s.HandleReport(message)
	}
	cancel()
	<-feedsDone
}

// sendFeeds relays what this host reads until the link ends.
func (s *Server) sendFeeds(ctx context.Context, conn *websocket.Conn) {
	updates, cancel, watermarks := s.Subscribe()
	defer cancel()
	tick := time.NewTimer(feedInterval)
	defer tick.Stop()
	for {
		var message feedMessage
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
		tick.Reset(min(feedInterval+time.Duration(s.links.Load())*feedIntervalPerLink, maxFeedInterval))
		// Records up to the watermarks must be in this message or an earlier one,
		// so the watermarks are taken before the queued updates.
		message.Watermarks = watermarks()
		message.Updates = append(message.Updates, queuedUpdates(updates)...)
		if len(message.Watermarks) == 0 && len(message.Updates) == 0 {
			continue
		}
		message.Hosts = s.Hosts()
		if err := write(ctx, conn, message); err != nil {
			return
		}
	}
}

// Hosts returns the number of linked hosts, including this one.
func (s *Server) Hosts() int { return int(s.links.Load()) + 1 }

// queuedUpdates returns the updates in the channel without waiting for more.
func queuedUpdates(updates <-chan metastore.Update) []metastore.Update {
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
	conn.SetReadLimit(maxFeedBytes)
	l := &Link{conn: conn}
	if err := read(ctx, conn, dialTimeout, &l.hello); err != nil {
		_ = conn.CloseNow()
		return nil, errors.Wrapf(err, "read hello from host at %s", address)
	}
	return l, nil
}

func linkTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
	}
}

// Incarnation returns the incarnation of the other host's process.
func (l *Link) Incarnation() string { return l.hello.Incarnation }

// Age returns how long the other host's process had run when it accepted the link.
func (l *Link) Age() time.Duration { return l.hello.Age }

// Report sends a report of this host to the other host.
func (l *Link) Report(ctx context.Context, report owner.Report) error {
	return write(ctx, l.conn, report)
}

// Receive waits for the other host's next feed message.
func (l *Link) Receive(ctx context.Context) (Feed, error) {
	var message feedMessage
	if err := read(ctx, l.conn, readTimeout, &message); err != nil {
		return Feed{}, err
	}
	return Feed(message), nil
}

// Feed is what the sender has read from the store since its last feed. Watermarks are
// set only if the sender is the leader.
type Feed feedMessage

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
		return errors.Wrap(err, "write message to host")
	}
	return nil
}

func read(ctx context.Context, conn *websocket.Conn, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, data, err := conn.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read message from host")
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "decode message from host")
	}
	return nil
}
