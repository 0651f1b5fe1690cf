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
	// peerLostAfter is the time of silence after which another host counts as lost, and its requests are ended.
	peerLostAfter = time.Second
	// maxUnknownRelays is the number of answers in a row, that a request is not in progress, after which
	// its response counts as lost: one may be on its way, and a request may wait to be read.
	maxUnknownRelays = 2
)

var errPeerSilent = errors.New("host does not answer")

// peerWatch watches the host that a request is relayed to while there is no response. Silence is a reason to send
// a request again, not to end it: its target may be at work.
type peerWatch struct {
	proxy *Proxy
	host  peers.Host
	id    relayID
	route string
	// repeatable is set if the request may be sent again.
	repeatable bool
	sentAt     time.Time
	// suspected is closed once the host looks silent.
	suspected chan struct{}
	suspect   func()
	// cancel ends the relay. ended is closed by stop.
	cancel context.CancelCauseFunc
	ended  chan struct{}
	timer  *time.Timer
	// once decides between the end of the relay and its cancellation.
	once sync.Once
}

// watchPeer watches the host that a request is relayed to, until stop is called.
func (p *Proxy) watchPeer(q *request, host peers.Host, id relayID, cancel context.CancelCauseFunc) *peerWatch {
	w := &peerWatch{
		proxy: p, host: host, id: id, route: q.match.Route.Name, repeatable: q.repeatable(), sentAt: p.clock.Now(),
		suspected: make(chan struct{}), cancel: cancel, ended: make(chan struct{}),
	}
	w.suspect = sync.OnceFunc(func() { close(w.suspected) })
	w.timer = time.AfterFunc(peerPatience, w.run)
	return w
}

// stop ends the watch, as the relay has ended.
func (w *peerWatch) stop() {
	w.timer.Stop()
	w.once.Do(func() {})
	close(w.ended)
}

// run probes the host until the relay has ended, or is given up.
func (w *peerWatch) run() {
	unknown := 0
	var silentSince time.Time
	for {
		asked := w.proxy.clock.Now()
		switch {
		case !w.proxy.peerAnswers(w.host.Address):
			if silentSince.IsZero() {
				silentSince = asked
			}
			if w.silent(silentSince) {
				return
			}
		case w.isLate() && !w.proxy.peerHasRelay(w.host.Address, w.id):
			unknown, silentSince = unknown+1, time.Time{}
		default:
			unknown, silentSince = 0, time.Time{}
		}
		if unknown == maxUnknownRelays {
			w.unknown()
			return
		}
		select {
		case <-w.ended:
			return
		case <-time.After(peerPatience):
		}
	}
}

// isLate reports whether the request takes longer than usual.
func (w *peerWatch) isLate() bool {
	return w.proxy.latencies.EndsWithin(w.route, 0, w.proxy.clock.Now().Sub(w.sentAt))
}

// silent handles a probe that was not answered in time: the host has a backoff, and a request that may be repeated
// is sent again. It is given up only once the host has been silent for peerLostAfter while others answer: then it is
// not this host, or its link, that is late. The result is whether the watch ends.
func (w *peerWatch) silent(since time.Time) bool {
	if w.hasEnded() {
		return true
	}
	p, now := w.proxy, w.proxy.clock.Now()
	p.peers.MarkFailed(w.host.Address, now)
	if !w.repeatable {
		return true
	}
	w.suspect()
	lostSince := now.Add(-peerLostAfter)
	if since.After(lostSince) || p.peers.HeardSince(w.host.Address, lostSince) || !w.othersAnswer() {
		return false
	}
	w.once.Do(func() { w.cancel(errPeerSilent) })
	return true
}

// othersAnswer reports whether another host than the silent one has answered just now. Where there is none, nothing
// tells whose silence it is, and the other host counts as lost.
func (w *peerWatch) othersAnswer() bool {
	p := w.proxy
	heard, known := p.peers.Heard(p.clock.Now().Add(-peerPatience))
	if heard > 0 || known <= 1 {
		return true
	}
	other, ok := p.peers.Pick("", []string{w.host.Address}, p.clock.Now())
	return ok && p.peerAnswers(other.Address)
}

// unknown ends a request that is not in progress at the host, as that has said. Other open connections may have gone
// silent with its own.
func (w *peerWatch) unknown() {
	w.once.Do(func() {
		klog.InfoS("Relayed request is not in progress, its connection counts as lost", "address", w.host.Address)
		w.proxy.peerTransport.CloseIdleConnections()
		w.cancel(errRelayUnknown)
	})
}

func (w *peerWatch) hasEnded() bool {
	select {
	case <-w.ended:
		return true
	default:
		return false
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
				now := p.clock.Now()
				took := now.Sub(sentAt)
				p.peers.MarkAlive(address, now)
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
