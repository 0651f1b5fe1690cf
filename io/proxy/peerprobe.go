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
	// peerLateTimeout limits the time for which the answer to a probe is awaited to tell a host that is late, or
	// a link that is, from a silent one.
	peerLateTimeout = time.Second
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

// probePeer reports whether another host answers within peerProbeTimeout. Requests that wait for the same host
// share a probe.
func (p *Proxy) probePeer(address string) bool {
	alive, _, _ := p.peerProbes.Do(address, func() (any, error) {
		sentAt := p.clock.Now()
		answered := make(chan error, 1)
		go func() { answered <- p.askPeer(address) }()
		select {
		case err := <-answered:
			if err != nil {
				p.logSilence(address, sentAt, err)
			}
			return err == nil, nil
		case <-time.After(peerProbeTimeout):
		}
		p.logSilence(address, sentAt, nil)
		go func() {
			if err := <-answered; err == nil {
				took := p.clock.Now().Sub(sentAt)
				p.probes.late(took)
				klog.InfoS("Host has answered late", "address", address, "took", took)
			}
		}()
		return false, nil
	})
	return alive == true
}

// askPeer returns nil once another host answers. A refused connection is an answer: a host that stops
// finishes its requests after it has closed its listener, and if its process has ended, so have the
// connections of its requests.
func (p *Proxy) askPeer(address string) error {
	ctx, cancel := context.WithTimeout(p.shutdownCtx, peerLateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ProbePath, nil)
	if err != nil {
		return errors.Wrapf(err, "probe host %s", address)
	}
	resp, err := p.peerTransport.RoundTrip(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "probe host %s", address)
	}
	discard(resp)
	return nil
}

// logSilence logs that a host has not answered a probe in time, and how many of the other hosts have answered
// anything since it was sent: if none has, this host or its own link may be what is late.
func (p *Proxy) logSilence(address string, sentAt time.Time, err error) {
	p.probes.silent()
	heard, known := p.peers.Heard(sentAt.Add(-peerPatience))
	klog.InfoS("Host does not answer", "address", address, "heard", heard, "known", known, "err", err)
}
