package proxy

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/attempt"
	"pineturn/core/peers"
	"pineturn/io/http1"
	"pineturn/io/socket"
	"pineturn/platform"
)

// relayHeaderPrefix begins the names of all headers between hosts.
const relayHeaderPrefix = "Pineturn-Relay-"

// Headers of requests that are relayed to another host, and of its responses. They
// reach neither targets nor callers.
const (
	// headerRelayVersion holds, in a request, the version of the configuration that the other
	// host must have, and in a response the newer one that it has served the request by.
	headerRelayVersion = "Pineturn-Relay-Version"
	// headerRelayService holds the service that the relaying host selected among those of
	// the route.
	headerRelayService = "Pineturn-Relay-Service"
	// headerRelaySends holds the number of sends of the request to targets so far. In a request, an
	// attempt that the relaying host keeps back counts as a send: older builds leave it unused.
	headerRelaySends = "Pineturn-Relay-Sends"
	// headerRelayReserve names the attempt that the relaying host keeps back, and the address at
	// which to ask for it.
	headerRelayReserve = "Pineturn-Relay-Reserve"
	// headerRelayOwner holds the owner of the request's key in a request that is relayed to the
	// host that holds the owner's queue, and the service in one that is relayed to a host that
	// selects targets.
	headerRelayOwner = "Pineturn-Relay-Owner"
	// headerRelayUnbudgeted is set in a request that the receiving host counts for the retry
	// budget. Older builds don't, and so have fewer retries.
	headerRelayUnbudgeted = "Pineturn-Relay-Unbudgeted"
	// headerRelayElapsed holds, in milliseconds, for how long the relaying host has had the
	// request: its objective counts from its arrival there.
	headerRelayElapsed = "Pineturn-Relay-Elapsed"
	// headerRelayID holds the relay's id, by which the relaying host asks whether the request is in progress.
	// Older builds ignore it.
	headerRelayID = "Pineturn-Relay-Id"
	// headerRelayOutcome holds a relayOutcome, headerRelayTarget the last target of the
	// request.
	headerRelayOutcome = "Pineturn-Relay-Outcome"
	headerRelayTarget  = "Pineturn-Relay-Target"
)

// relayOutcome is the outcome of a relayed request at the host that received it.
type relayOutcome string

const (
	// relayResponded means that the response is a target's.
	relayResponded relayOutcome = "responded"
	// relayRefused means that the host refused the request: no target has run it.
	relayRefused relayOutcome = "refused"
	// relayDetached means the same, because the host can't reach the targets itself.
	relayDetached relayOutcome = "detached"
	// relayUnavailable means the same, because the host stops, has an older configuration
	// than the relaying host, or has a newer one and only holds the queue of the owner.
	relayUnavailable relayOutcome = "unavailable"
	// relayFailed means that the request failed, and that a target may have run it.
	relayFailed relayOutcome = "failed"
)

const (
	// peerConnectTimeout limits the time to connect to another host.
	peerConnectTimeout = 250 * time.Millisecond
	// peerUserTimeout is how long data sent to another host may stay unacknowledged.
	peerUserTimeout = time.Second
	// maxIdlePeerConns limits the number of idle connections to one host, maxAllIdlePeerConns
	// that to all. Each host relays to most others, to each of them seldom.
	maxIdlePeerConns    = 2
	maxAllIdlePeerConns = 128
	// idlePeerTimeout is how long an idle connection to another host is kept open. It is
	// shorter than that host keeps it. Each idle connection takes some 20 KB at both ends.
	idlePeerTimeout = 20 * time.Second
	// relayMargin is the part of a request's remaining time that is kept for the way back
	// from the other host.
	relayMargin = 20 * time.Millisecond
	// maxDiscardedBytes is the size of a refusal's body up to which its connection is
	// used again.
	maxDiscardedBytes = 4 << 10
)

// newPeerTransport returns a transport for relayed requests.
func newPeerTransport() http1.Transport {
	dialer := &net.Dialer{
		Timeout:         peerConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, conn syscall.RawConn) error {
			return socket.SetUserTimeout(conn, peerUserTimeout)
		},
	}
	t := newTransport(socket.Tracked(socket.DiscardOnClose(dialer.DialContext)))
	t.MaxIdleConnsPerHost, t.MaxIdleConns, t.IdleConnTimeout = maxIdlePeerConns, maxAllIdlePeerConns, idlePeerTimeout
	return t
}

// relay sends a request to another host, which sends it to a target. While the host looks silent, the result is
// that of a suspended send.
func (p *Proxy) relay(ctx context.Context, q *request, host peers.Host) sendResult {
	held := p.reserveAttempt(q)
	q.progress.RecordSend()
	q.triedHosts = append(q.triedHosts, host.Address)
	q.via = host.Address
	id := newRelayID()
	sendCtx, cancel := context.WithCancelCause(ctx)
	watch := p.watchPeer(q, host, id, cancel)
	req := p.relayRequest(sendCtx, q, host, held)
	req.Header.Set(headerRelayID, string(id))
	sent := &pendingSend{replied: make(chan struct{}), cancel: cancel, sentAt: p.clock.Now(), takeAttempt: func() bool { return p.takeBack(q, held) }}
	reply := &relayReply{}
	sent.discard = reply.close
	sent.result = func() sendResult {
		defer p.reserve.Take(held.token)
		if reply.err != nil {
			return p.failedSend(ctx, sendCtx, q, host, held, reply.err)
		}
		return p.relayResult(sendCtx, q, host, held, reply)
	}
	go func() {
		reply.receive(p.peerTransport, req, watch, q)
		sent.complete = reply.succeeded()
		close(sent.replied)
	}()
	select {
	case <-sent.replied:
		return sent.result()
	case <-q.suspicion(watch.suspected):
	}
	return q.suspend(sent, "", errPeerSilent)
}

// relayReply is what comes back of a relayed request: a response of the other host, or an error.
type relayReply struct {
	resp *http.Response
	err  error
	// response is a target's response, nil if there is none or it can't be used for readErr.
	response *response
	readErr  error
}

// receive sends a request, until the end of its watch, and reads the response of a target.
func (r *relayReply) receive(transport http.RoundTripper, req *http.Request, watch *peerWatch, q *request) {
	r.resp, r.err = transport.RoundTrip(req)
	watch.stop()
	if r.err == nil && r.outcome() == relayResponded {
		r.response, r.readErr = readResponse(q, r.resp)
	}
}

// succeeded reports whether a target has responded without an error.
func (r *relayReply) succeeded() bool {
	return r.response != nil && r.response.status < http.StatusInternalServerError
}

func (r *relayReply) outcome() relayOutcome {
	return relayOutcome(r.resp.Header.Get(headerRelayOutcome))
}

// close releases the response.
func (r *relayReply) close() {
	if r.err == nil {
		_ = r.resp.Body.Close()
	}
}

// failedSend returns the result of a request that could not be sent to another host, or whose response was lost.
func (p *Proxy) failedSend(caller, sendCtx context.Context, q *request, host peers.Host, held *reservation, err error) sendResult {
	cause := context.Cause(sendCtx)
	if caller.Err() == nil && !errors.Is(cause, errRelayUnknown) && !errors.Is(cause, errSuperseded) {
		p.peers.MarkFailed(host.Address, p.clock.Now())
	}
	result := classifySendError(err)
	if result != attempt.Unsent {
		p.settleLost(q, held)
	}
	return sendResult{result: result, err: errors.Wrapf(err, "relay to host %s", host.Address)}
}

func (p *Proxy) relayRequest(ctx context.Context, q *request, host peers.Host, held *reservation) *http.Request {
	header := platform.RelayHeaders(q.header, q.timeLeft(p.clock.Now())-relayMargin)
	removeRelayHeaders(header)
	version := max(q.configVersion, p.peerVersion.Load())
	if q.toHolder() {
		version = q.configVersion
		header.Set(headerRelayOwner, cmp.Or(q.queueOwner, q.match.Service.Name))
	}
	if !q.budgeted {
		header.Set(headerRelayUnbudgeted, "1")
	}
	header.Set(headerRelayVersion, strconv.FormatInt(version, 10))
	header.Set(headerRelayElapsed, strconv.FormatInt(p.clock.Now().Sub(q.arrived).Milliseconds(), 10))
	header.Set(headerRelayService, q.match.Service.Name)
	header.Set(headerRelaySends, strconv.Itoa(held.before+held.kept))
	if held.kept > 0 {
		header.Set(headerRelayReserve, formatKept(p.peers.Self().Address, held.token))
	}
	return q.outgoing(ctx, host.Address, header)
}

// relayResult returns the result of a request to which another host has responded.
func (p *Proxy) relayResult(ctx context.Context, q *request, host peers.Host, held *reservation, reply *relayReply) sendResult {
	resp, h := reply.resp, reply.resp.Header
	outcome, target := reply.outcome(), h.Get(headerRelayTarget)
	p.recordPeerVersion(q, h.Get(headerRelayVersion))
	sends, err := strconv.Atoi(h.Get(headerRelaySends))
	if err != nil {
		return p.invalidRelay(q, host, held, resp, errors.Wrap(err, "number of sends"))
	}
	sends -= held.kept
	for _, name := range []string{headerRelayOutcome, headerRelayTarget, headerRelaySends, headerRelayVersion} {
		h.Del(name)
	}
	q.budgeted = q.budgeted || outcome != relayDetached && outcome != relayUnavailable
	if outcome == relayResponded {
		return p.relayedResponse(ctx, q, host, held, target, sends, reply)
	}
	discard(resp)
	s := sendResult{target: target, err: errors.Newf("host %s: %s", host.Address, outcome)}
	switch outcome {
	case relayDetached:
		p.peers.MarkDetached(host.Address, q.match.Service.Name, p.clock.Now())
		s.result = q.notRelayed(sends)
	case relayUnavailable:
		p.peers.MarkFailed(host.Address, p.clock.Now())
		s.result = q.notRelayed(sends)
	case relayRefused:
		p.peers.MarkServed(host.Address, p.clock.Now())
		s.result = attempt.NotRun
		if p.ownerDiffers(q, target) {
			s.result = q.notRelayed(sends)
			break
		}
		s.final = q.refuseFor(reasonRelayRefused, platform.RetryAfter(h), s.err)
	case relayFailed:
		q.progress.RecordSends(sends - q.progress.Sends())
		s.result, s.timedOut = attempt.Unknown, resp.StatusCode == http.StatusGatewayTimeout
		if resp.StatusCode < http.StatusInternalServerError {
			s.final = q.fail(resp.StatusCode, reasonRelayFailed, s.err)
		}
	default:
		return p.invalidRelay(q, host, held, resp, errors.Newf("outcome %q", outcome))
	}
	if s.result == attempt.Unsent && !q.body.replayable() {
		s.final = q.failOrRefuse(reasonUnreachable, q.match.Route.Objective/4, s.err)
	}
	return s
}

// ownerDiffers reports whether the holder of an owner's queue has refused a request on behalf of a
// target that is not the owner of its key by what is known here: one of the two hosts has not
// read the latest owners yet.
func (p *Proxy) ownerDiffers(q *request, target string) bool {
	if q.queueOwner == "" || target == "" {
		return false
	}
	known, reason := p.currentOwner(q)
	return reason == "" && known != target
}

// recordPeerVersion records the version of the configuration by which another host has served
// a request, empty if it does not say. If it is newer than this host's, what callers get here
// must not fall back: further requests are relayed to hosts with this version, and this host
// reads it.
func (p *Proxy) recordPeerVersion(q *request, text string) {
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version <= q.configVersion {
		return
	}
	for known := p.peerVersion.Load(); version > known; known = p.peerVersion.Load() {
		if p.peerVersion.CompareAndSwap(known, version) {
			p.catalog.ReadConfig()
			return
		}
	}
}

// notRelayed returns the result of a request that another host gave back as not run, after
// the given number of sends in all. A target may have received and refused it there; a
// further send is then a retry.
func (q *request) notRelayed(sends int) attempt.Result {
	if sends < q.progress.Sends() {
		return attempt.Unsent
	}
	q.progress.RecordSends(sends - q.progress.Sends())
	return attempt.NotRun
}

// relayedResponse returns the result of a request to which a target has responded through
// another host.
func (p *Proxy) relayedResponse(ctx context.Context, q *request, host peers.Host, held *reservation, target string, sends int, reply *relayReply) sendResult {
	q.progress.RecordSends(sends - q.progress.Sends())
	r, err := reply.response, reply.readErr
	if errors.Is(context.Cause(ctx), errSuperseded) {
		reply.close()
		return sendResult{result: attempt.Unknown, err: errSuperseded}
	}
	if err != nil {
		// The other host has ended the request and said how often it has sent it.
		return p.failedRelay(host, reply.resp, errors.Wrapf(err, "response of target %s", target))
	}
	if r.unread == nil {
		reply.close()
	}
	p.peers.MarkServed(host.Address, p.clock.Now())
	if held.lost {
		q.lostRelays--
	}
	s := sendResult{result: attempt.Complete, response: r, target: target}
	p.observeRelayed(s)
	return s
}

// invalidRelay returns the result of a response of another host that does not say what it has done.
func (p *Proxy) invalidRelay(q *request, host peers.Host, held *reservation, resp *http.Response, err error) sendResult {
	p.settleLost(q, held)
	return p.failedRelay(host, resp, err)
}

// failedRelay returns the result of a response of another host that can't be passed on.
func (p *Proxy) failedRelay(host peers.Host, resp *http.Response, err error) sendResult {
	_ = resp.Body.Close()
	p.peers.MarkFailed(host.Address, p.clock.Now())
	return sendResult{result: attempt.Unknown, err: errors.Wrapf(err, "relay to host %s", host.Address)}
}

// discard reads a short body to its end, so that the connection can be used again.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardedBytes)
	_ = resp.Body.Close()
}
