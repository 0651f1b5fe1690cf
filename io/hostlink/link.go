package hostlink

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/peers"
	"pineturn/core/placement"
	"pineturn/core/poison"
	"pineturn/core/ratelimit"
	"pineturn/platform"
)

// Link is an open link to another host.
type Link struct {
	conn  *websocket.Conn
	clock clock.Clock
	// dialedAt is the time before the link was dialed.
	dialedAt time.Time
	hello    hello
}

// Dial opens a link to the host at an address.
func Dial(ctx context.Context, address string, clk clock.Clock) (*Link, error) {
	return dial(ctx, address, "", clk)
}

// dial opens a link with a query string in its URL.
func dial(ctx context.Context, address, query string, clk clock.Clock) (*Link, error) {
	l := &Link{clock: clk, dialedAt: clk.Now()}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+path+query, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: linkTransport()},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "dial host at %s", address)
	}
	conn.SetReadLimit(maxFeedBytes)
	l.conn = conn
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
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Incarnation returns the incarnation of the other host's process.
func (l *Link) Incarnation() string { return l.hello.Incarnation }

// Age returns how long the other host's process had run when it accepted the link.
func (l *Link) Age() time.Duration { return l.hello.Age }

// FollowsEpoch reports whether the other host, when it accepted the link, knew of the
// leader of an epoch or of a later one, and could send no grants of an earlier one any
// more.
func (l *Link) FollowsEpoch(epoch int64) bool { return l.hello.Epoch >= epoch && !l.hello.Leading }

// StoppedBefore reports whether the other host, when it accepted the link, knew of the leader of an epoch or of a
// later one, sent no grants any more, and had some without an outcome, which it returns.
func (l *Link) StoppedBefore(epoch int64) ([]owner.UnaccountedGrant, bool) {
	return l.hello.Unaccounted, l.hello.Epoch >= epoch && len(l.hello.Unaccounted) > 0
}

// SendOwners sends a record of the owners of keys to the other host, which may be cut
// off from the store.
func (l *Link) SendOwners(ctx context.Context, record platform.Record) error {
	return write(ctx, l.conn, reportMessage{Owners: &record})
}

// News is what a host tells the leader besides its report.
type News struct {
	// Self is the host as others see it. It is left out if it has no address.
	Self peers.Host
	// Limits is what the host knows of the limits of targets.
	Limits []ratelimit.Observation
	// Departures are targets that have said that they leave.
	Departures []placement.Departure
	// Lacks are topics of which this host asks for the newest records.
	Lacks []string
	// Poison is what this host has observed of requests that end targets.
	Poison []poison.Event
}

// Report sends a report of this host to the other host, with its news.
func (l *Link) Report(ctx context.Context, report owner.Report, news News) error {
	message := reportMessage{
		Report: report, SentAt: l.clock.Now().Sub(l.dialedAt), Limits: news.Limits, FollowsLimits: true, FollowsPeers: true, Unpacks: true, Departures: news.Departures,
		Lacks: news.Lacks, Poison: news.Poison,
	}
	if news.Self.Address != "" {
		message.Self = &news.Self
	}
	return write(ctx, l.conn, message)
}

// Receive waits for the other host's next feed. It adds to the ages of the
// watermarks the longest time that the message can have been on its way: a cut or
// a paused host may hold messages up for seconds.
func (l *Link) Receive(ctx context.Context) (Feed, error) {
	var message feedMessage
	if err := read(ctx, l.conn, feedTimeout, &message); err != nil {
		return Feed{}, err
	}
	message.Delay = max(l.clock.Now().Sub(l.dialedAt)-message.Echo-message.EchoAge, 0)
	for i := range message.Watermarks {
		message.Watermarks[i].Age += message.Delay
	}
	return message.Feed, nil
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
