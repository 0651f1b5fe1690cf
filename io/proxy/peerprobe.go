package proxy

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/peers"
)

const (
	// peerPatience is the time without a response after which another host is probed, and
	// again after each probe that it has answered.
	peerPatience = 250 * time.Millisecond
	// peerProbeTimeout limits the time for the answer to a probe.
	peerProbeTimeout = 200 * time.Millisecond
	// maxUnknownRelays is the number of answers in a row, that a request is not in progress, after which
	// its response counts as lost: one may be on its way, and a request may wait to be read.
	maxUnknownRelays = 2
)

var errPeerSilent = errors.New("host does not answer")

// watchPeer probes the host that a request is relayed to while there is no response, as the host
// may be paused. If it is, it has a backoff, and a request that may be sent again is cancelled. A request
// that takes longer than usual and is not in progress there is cancelled as well. The caller calls stop
// once it has the response.
func (p *Proxy) watchPeer(ctx context.Context, q *request, host peers.Host, id relayID) (watched context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	ended := make(chan struct{})
	// once decides between the response and the end of patience.
	var once sync.Once
	sentAt := p.clock.Now()
	timer := time.AfterFunc(peerPatience, func() {
		unknown := 0
		for p.peerAnswers(host.Address) {
			late := p.latencies.EndsWithin(q.match.Route.Name, 0, p.clock.Now().Sub(sentAt))
			switch {
			case late && !p.peerHasRelay(host.Address, id):
				unknown++
			default:
				unknown = 0
			}
			if unknown == maxUnknownRelays {
				once.Do(func() { p.endUnknownRelay(host, cancel) })
				return
			}
			select {
			case <-ended:
				return
			case <-time.After(peerPatience):
			}
		}
		once.Do(func() {
			p.peers.MarkFailed(host.Address, p.clock.Now())
			if q.match.Route.Idempotent && q.body.replayable() {
				cancel(errPeerSilent)
			}
		})
	})
	return ctx, func() {
		timer.Stop()
		once.Do(func() {})
		close(ended)
	}
}

// peerAnswers reports whether another host has answered anything lately, or answers a probe.
func (p *Proxy) peerAnswers(address string) bool {
	if p.peers.HeardSince(address, p.clock.Now().Add(-peerPatience)) {
		return true
	}
	alive := p.probePeer(address)
	if alive {
		p.peers.MarkAlive(address, p.clock.Now())
	}
	return alive
}

// probePeer reports whether another host answers. Requests that wait for the same host share a
// probe. A refused connection is an answer: a host that stops finishes its requests after it has
// closed its listener, and if its process has ended, so have the connections of its requests.
func (p *Proxy) probePeer(address string) bool {
	alive, _, _ := p.peerProbes.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(p.shutdownCtx, peerProbeTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ProbePath, nil)
		if err != nil {
			return false, errors.Wrapf(err, "probe host %s", address)
		}
		resp, err := p.peerTransport.RoundTrip(req)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true, nil
		}
		if err != nil {
			klog.InfoS("Host does not answer", "address", address, "err", err)
			return false, nil
		}
		discard(resp)
		return true, nil
	})
	return alive == true
}
