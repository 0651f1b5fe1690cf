package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// A connection between two hosts can go silent for good while new ones work, and the host at its other end
// answers probes. So the relaying host of a request that takes long asks by the relay's id whether the
// request is in progress there. If it is not, the request or its response is lost.

// ProbePath is a path that other hosts answer at once, those of older builds with status 404.
const ProbePath = "/alive"

// relayQuery is the query parameter that holds the id of a relay in a probe. The answer is status 410 if the
// request is not in progress.
const relayQuery = "relay"

var errRelayUnknown = errors.New("relayed request is not in progress at the other host")

// relayID identifies one relay of a request.
type relayID string

func newRelayID() relayID { return relayID(strconv.FormatUint(rand.Uint64(), 36)) }

// relays holds the requests in progress that other hosts have relayed to this one. It is safe for concurrent
// use. In the lock order its mutex comes after all others.
type relays struct {
	mu         sync.Mutex
	inProgress map[relayID]bool
}

func (r *relays) begin(id relayID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inProgress == nil {
		r.inProgress = make(map[relayID]bool)
	}
	r.inProgress[id] = true
}

func (r *relays) end(id relayID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inProgress, id)
}

func (r *relays) has(id relayID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inProgress[id]
}

// track returns a handler that holds the requests of another one as in progress. Older builds state no id.
func (r *relays) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if id := relayID(req.Header.Get(headerRelayID)); id != "" {
			r.begin(id)
			defer r.end(id)
		}
		next.ServeHTTP(w, req)
	})
}

// ProbeHandler returns the HTTP handler for probes of other hosts.
func (p *Proxy) ProbeHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := relayID(r.URL.Query().Get(relayQuery)); id != "" && !p.relays.has(id) {
			w.WriteHeader(http.StatusGone)
		}
	})
}

// peerHasRelay reports whether a request that was relayed to another host is in progress there. It counts as
// that unless the host says otherwise.
func (p *Proxy) peerHasRelay(address string, id relayID) bool {
	ctx, cancel := context.WithTimeout(p.shutdownCtx, peerProbeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ProbePath+"?"+relayQuery+"="+string(id), nil)
	if err != nil {
		return true
	}
	resp, err := p.peerTransport.RoundTrip(req)
	if err != nil {
		return true
	}
	discard(resp)
	return resp.StatusCode != http.StatusGone
}
