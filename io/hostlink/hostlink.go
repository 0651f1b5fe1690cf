// Package hostlink joins the hosts: each tells the one that leads what its
// callers ask for, over WebSocket with CBOR.
package hostlink

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/owner"
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
	maxReport  = 256 << 10
	bufferSize = 2 << 10
)

// hello is the first message on a link, from the host that took it.
type hello struct {
	// Process is the incarnation of the host's process.
	Process string `cbor:"1,keyasint"`
	// Age is how long the process has run.
	Age time.Duration `cbor:"2,keyasint"`
}

// report is what a host's callers asked for since its last report.
type report struct {
	Counts []owner.KeyCount `cbor:"1,keyasint"`
}

// Server takes links of other hosts.
type Server struct {
	process string
	clock   clock.Clock
	started time.Time
	// Take is told of each report. It is set before use.
	Take func(counts []owner.KeyCount)
}

// NewServer returns a server for a process.
func NewServer(process string, c clock.Clock) *Server {
	return &Server{process: process, clock: c, started: c.Now(), Take: func([]owner.KeyCount) {}}
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
	for {
		var message report
		if err := read(r.Context(), conn, silence, &message); err != nil {
			return
		}
		s.Take(message.Counts)
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

// Report sends what this host's callers asked for.
func (l *Link) Report(ctx context.Context, counts []owner.KeyCount) error {
	return write(ctx, l.conn, report{Counts: counts})
}

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
