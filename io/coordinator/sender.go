package coordinator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/owner"
	"pineturn/platform"
)

const (
	connectTimeout = 400 * time.Millisecond
	idleTimeout    = 20 * time.Second
	bufferSize     = 1 << 10
)

// sender sends orders to targets.
type sender struct {
	mu       sync.Mutex
	grants   map[owner.Incarnation]*http.Transport
	releases *http.Transport
}

func newSender() *sender {
	return &sender{grants: make(map[owner.Incarnation]*http.Transport), releases: newTransport(0)}
}

type renewalKey struct{}

var errNoConnection = errors.New("no connection that was open before")

// newTransport returns a transport that opens no connection for renewals.
func newTransport(conns int) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if renewal, _ := ctx.Value(renewalKey{}).(bool); renewal {
				return nil, &net.OpError{Op: "dial", Net: network, Err: errNoConnection}
			}
			return dialer.DialContext(ctx, network, address)
		},
		MaxConnsPerHost: conns, IdleConnTimeout: idleTimeout, DisableCompression: true,
		ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
	}
}

func (s *sender) grantTransport(target owner.Incarnation) *http.Transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.grants[target]
	if t == nil {
		t = newTransport(1)
		s.grants[target] = t
	}
	return t
}

// keep drops the connections to the lives of targets that are gone.
func (s *sender) keep(lives map[owner.Incarnation]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for life, t := range s.grants {
		if !lives[life] {
			t.CloseIdleConnections()
			delete(s.grants, life)
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

// send carries an order out and says how it ended.
func (s *sender) send(ctx context.Context, address string, o owner.Order) owner.Outcome {
	grant := platform.Grant{First: o.First, Last: o.Last, Fence: o.FencingToken, Hold: o.LeaseDuration, Handover: o.Handover}
	if o.Kind == owner.Release {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		handover, err := platform.SendRelease(ctx, s.releases, address, o.Target.Target, grant)
		logOrder(o, err)
		return outcome(err, handover)
	}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, renewalKey{}, o.Renewal), grantTimeout)
	defer cancel()
	err := platform.SendGrant(ctx, s.grantTransport(o.Target), address, o.Target.Target, grant)
	if !o.Renewal || err != nil {
		logOrder(o, err)
	}
	return outcome(err, "")
}

func outcome(err error, handover string) owner.Outcome {
	return owner.Outcome{
		Done: err == nil, Fenced: errors.Is(err, platform.ErrFenced), Unsent: unsent(err),
		TargetEnded: errors.Is(err, platform.ErrOtherTarget), Handover: handover,
	}
}

func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func logOrder(o owner.Order, err error) {
	name := "Grant"
	if o.Kind == owner.Release {
		name = "Release"
	}
	klog.InfoS(name, "service", o.Service, "first", o.First, "last", o.Last, "target", o.Target.Target,
		"born", o.Target.Born, "fence", o.FencingToken, "renewal", o.Renewal, "err", err)
}
