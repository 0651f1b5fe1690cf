package coordinator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/io/http1"
	"pineturn/io/socket"
	"pineturn/platform"
)

const (
	// connectTimeout bounds the dialing of a connection.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 20 * time.Second
	// bufferSize is the size of a connection's read and write buffers, in bytes.
	bufferSize = 1 << 10
	// maxHeaderBytes limits the size of the header of a target's response.
	maxHeaderBytes = 64 << 10
)

// sender sends orders to targets.
type sender struct {
	// dial opens connections, but none for renewals.
	dial socket.DialFunc
	// clock tells when they were opened.
	clock clock.Clock

	mu sync.Mutex
	// grants holds a transport for each target. Releases use a transport of their
	// own, because a release may take releaseTimeout and must not delay grants. It opens a
	// connection for each: answers bear no id, and a late copy of one is no answer to the next.
	grants   map[owner.Incarnation]http1.Transport
	releases http1.Transport
}

func newSender(clk clock.Clock, dial socket.DialFunc) *sender {
	releases := newTransport(clk, dial, 0)
	releases.MaxIdleConnsPerHost = -1
	return &sender{dial: dial, clock: clk, grants: make(map[owner.Incarnation]http1.Transport), releases: releases}
}

type renewalKey struct{}

var errNoConnection = errors.New("no idle connection for a renewal")

// newTransport returns a transport with at most conns connections to each target,
// or any number if conns is 0. It opens no connection for renewals: an address
// that is dialed again may belong to another incarnation of the target.
func newTransport(clk clock.Clock, dial socket.DialFunc, conns int) http1.Transport {
	return http1.Transport{Transport: &http.Transport{
		DialContext: socket.TrackedBy(clk, func(ctx context.Context, network, address string) (net.Conn, error) {
			if renewal, _ := ctx.Value(renewalKey{}).(bool); renewal {
				return nil, &net.OpError{Op: "dial", Net: network, Err: errNoConnection}
			}
			return dial(ctx, network, address)
		}),
		MaxConnsPerHost: conns, IdleConnTimeout: idleTimeout, DisableCompression: true,
		ReadBufferSize: bufferSize, WriteBufferSize: bufferSize, MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

func (s *sender) grantTransport(target owner.Incarnation) http1.Transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.grants[target]
	if !ok {
		t = newTransport(s.clock, s.dial, 1)
		s.grants[target] = t
	}
	return t
}

// retain drops the connections to all incarnations of targets that are not in
// incarnations.
func (s *sender) retain(incarnations map[owner.Incarnation]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation, t := range s.grants {
		if !incarnations[incarnation] {
			t.CloseIdleConnections()
			delete(s.grants, incarnation)
		}
	}
}

func (s *sender) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.grants {
		t.CloseIdleConnections()
	}
	s.releases.CloseIdleConnections()
}

// send sends an order to its target and returns the outcome.
func (s *sender) send(ctx context.Context, address string, order owner.Order) owner.Outcome {
	grant := platform.Order{First: order.First, Last: order.Last, FencingToken: order.FencingToken, LeaseDuration: order.LeaseDuration, Handover: order.Handover}
	if order.Kind == owner.Release {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		handover, err := platform.SendRelease(ctx, s.releases, address, order.Target.Target, grant)
		logOrder(order, err)
		return outcome(err, handover)
	}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, renewalKey{}, order.Renewal), grantTimeout)
	defer cancel()
	var use socket.Use
	err := s.sendGrant(ctx, &use, address, order.Target, grant)
	if !order.Renewal || err != nil {
		logOrder(order, err)
	}
	result := outcome(err, "")
	result.ConnectedAt = use.OpenedAt()
	return result
}

var errRepeatedAnswer = errors.New("answer may be a copy of an earlier one")

// sendGrant sends a grant on the connection for grants to a target, and records its use. An answer that the grant was not
// executed ends the connection, so that a late copy of it is not believed of the next grant; one that
// was on its way on the same connection counts as unanswered.
func (s *sender) sendGrant(ctx context.Context, use *socket.Use, address string, target owner.Incarnation, grant platform.Order) error {
	transport := s.grantTransport(target)
	err := platform.SendGrant(use.Trace(ctx), transport, address, target.Target, grant)
	if !errors.IsAny(err, platform.ErrFenced, platform.ErrRefused, platform.ErrOtherTarget) {
		return err
	}
	transport.CloseIdleConnections()
	if use.Mark() {
		return errors.Wrap(errRepeatedAnswer, err.Error())
	}
	return err
}

func outcome(err error, handover string) owner.Outcome {
	return owner.Outcome{
		Done: err == nil, Fenced: errors.Is(err, platform.ErrFenced), Unsent: notSent(err), Refused: errors.Is(err, platform.ErrRefused),
		TargetEnded: errors.Is(err, platform.ErrOtherTarget), Handover: handover,
	}
}

// notSent reports whether the connection failed before anything was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func logOrder(order owner.Order, err error) {
	name := "Sent a grant"
	if order.Kind == owner.Release {
		name = "Sent a release"
	}
	klog.InfoS(name, "service", order.Service, "first", order.First, "last", order.Last, "target", order.Target.Target,
		"born", order.Target.Born, "fence", order.FencingToken, "renewal", order.Renewal, "err", err)
}
