package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	kithttp "github.com/go-kit/kit/transport/http"
)

// IsRelayed reports whether a request comes from another host that relays it.
func IsRelayed(r *http.Request) bool { return r.Header.Get(headerRelayVersion) != "" }

// RelayHandler returns the HTTP handler for requests that other hosts relay. It serves
// them like callers' requests, but never relays them again.
func (p *Proxy) RelayHandler() http.Handler {
	return p.relays.track(kithttp.NewServer(p.endpoint(), p.decodeRelayed, p.encodeRelayed, kithttp.ServerErrorEncoder(p.encodeRelayedError)))
}

// maxElapsed bounds the time that a relaying host states to have had a request.
const maxElapsed = time.Minute

// errOlderConfig means that a relayed request was routed by a configuration that this
// host has not read yet.
var errOlderConfig = errors.New("configuration is older than the relaying host's")

// decodeRelayed matches a relayed request to a route and reads its body.
func (p *Proxy) decodeRelayed(_ context.Context, r *http.Request) (any, error) {
	q := p.newRequest(r)
	q.relayed = true
	version, err := strconv.ParseInt(r.Header.Get(headerRelayVersion), 10, 64)
	if err != nil {
		return nil, q.fail(http.StatusBadRequest, reasonRelayFailed, errors.Wrap(err, "configuration version"))
	}
	q.askedVersion = version
	sends, err := strconv.Atoi(r.Header.Get(headerRelaySends))
	if err != nil {
		return nil, q.fail(http.StatusBadRequest, reasonRelayFailed, errors.Wrap(err, "number of sends"))
	}
	service := r.Header.Get(headerRelayService)
	toHolder := r.Header.Get(headerRelayOwner) != ""
	q.budgeted = r.Header.Get(headerRelayUnbudgeted) == ""
	// Older builds do not state the time, which is short.
	if ms, err := strconv.Atoi(r.Header.Get(headerRelayElapsed)); err == nil && ms > 0 {
		q.elapsed = min(time.Duration(ms)*time.Millisecond, maxElapsed)
	}
	if text := r.Header.Get(headerRelayReserve); text != "" {
		if q.kept, err = parseKept(text); err != nil {
			return nil, q.fail(http.StatusBadRequest, reasonRelayFailed, err)
		}
	}
	removeRelayHeaders(q.header)
	table := p.catalog.Table()
	if table == nil || table.Config().Version < version {
		return nil, q.refuseFor(reasonNoConfig, configLoadTime, errOlderConfig)
	}
	if toHolder && table.Config().Version > version {
		// The relaying host goes on by its own configuration, which must not fall back from one
		// that this host has served its request by.
		q.configVersion = table.Config().Version
		return nil, q.refuseFor(reasonNewerConfig, 0, nil)
	}
	if p.stopping.Load() {
		return nil, q.refuseFor(reasonStopping, 0, nil)
	}
	match, ok := table.FindPart(q.host, q.path, service)
	if err := q.setRoute(match, ok, table); err != nil {
		return nil, err
	}
	if p.reach.IsLost(q.match.Service.Name) {
		return nil, q.refuseFor(reasonDetached, 0, nil)
	}
	p.countForBudget(q)
	q.progress.RecordSends(sends)
	if err := q.body.read(r, table.Config().Limits.MaxBodyBytes); err != nil {
		return nil, q.bodyError(err)
	}
	return q, nil
}

// removeRelayHeaders removes the hosts' own headers, also those of newer builds.
func removeRelayHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, relayHeaderPrefix) {
			delete(h, name)
		}
	}
}

// encodeRelayed writes a target's response to the relaying host.
func (p *Proxy) encodeRelayed(ctx context.Context, w http.ResponseWriter, message any) error {
	r := message.(*response)
	setRelayHeaders(r.header, r.request, relayResponded)
	return p.encode(ctx, w, message)
}

// encodeRelayedError writes this host's own response to the relaying host.
func (p *Proxy) encodeRelayedError(ctx context.Context, err error, w http.ResponseWriter) {
	f := asFailure(err)
	setRelayHeaders(w.Header(), f.request, f.relayOutcome())
	p.encodeError(ctx, err, w)
}

func setRelayHeaders(h http.Header, q *request, outcome relayOutcome) {
	h.Set(headerRelayOutcome, string(outcome))
	h.Set(headerRelayTarget, q.lastTarget)
	h.Set(headerRelaySends, strconv.Itoa(q.progress.Sends()))
	if q.configVersion > q.askedVersion {
		h.Set(headerRelayVersion, strconv.FormatInt(q.configVersion, 10))
	}
}

// relayOutcome returns the outcome of a relayed request that ended with a failure.
func (f *failure) relayOutcome() relayOutcome {
	switch {
	case f.status != http.StatusServiceUnavailable:
		return relayFailed
	case f.reason == reasonDetached:
		return relayDetached
	case f.reason == reasonStopping || f.reason == reasonNoConfig || f.reason == reasonNewerConfig:
		return relayUnavailable
	}
	return relayRefused
}
