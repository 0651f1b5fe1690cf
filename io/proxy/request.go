package proxy

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pineturn/core/attempt"
	"pineturn/core/placement"
	"pineturn/core/poison"
	"pineturn/core/routing"
	"pineturn/io/listener"
	"pineturn/platform"
)

// request is a caller's request in progress.
type request struct {
	platform.RequestInfo
	method string
	host   string
	path   string
	query  string
	// emptyQuery is set if the path ends with a question mark and no query.
	emptyQuery bool
	header     http.Header
	body       body
	match      routing.Match
	// configVersion is the version of the configuration that the request was
	// routed by.
	configVersion int64
	// arrived is when the request was read from its caller, started when it was its turn on the connection: a
	// request that was sent ahead waits for that of the one before it.
	arrived, started time.Time
	// deadline is the latest time at which the caller gets a response.
	deadline time.Time
	progress attempt.Progress
	// retryCounted is the time at which the retry budget has counted the next send, or zero
	// if that is not a retry.
	retryCounted time.Time
	// demandCounted is set once the request counts for the demand for limited targets.
	demandCounted bool
	// excluded are the ids of targets that have already been tried.
	excluded []string
	// refusedBy are the ids of targets that have refused the request, which must not run twice: each may write its
	// refusal once more. It is empty for idempotent requests.
	refusedBy []string
	// lastTarget is the target of the last send; expectedLatency is the estimated
	// time to its response.
	lastTarget      string
	expectedLatency time.Duration
	// estimate is what was assumed of lastTarget when it had no capacity.
	estimate *placement.Estimate
	// relayed is set if another host relayed the request to this one, and askedVersion the
	// version of the configuration that it asked for.
	relayed      bool
	askedVersion int64
	// via is the address of the host that the request was last relayed to, triedHosts
	// those of all such hosts. queueOwner is the owner of the key if that host holds the
	// owner's queue, dispatched is set if that host selects targets for others.
	via        string
	triedHosts []string
	queueOwner string
	dispatched bool
	// lostRelays is the number of relays of the request whose outcome is not known.
	lostRelays int
	// pending is a send that looks lost, while the request is sent again beside it; nil for none. suspected is the
	// number of such sends.
	pending   *pendingSend
	suspected int
	// kept is the attempt that the host which relayed the request keeps back; nil for none.
	kept *keptAttempt
	// budgeted is set once the request counts for the retry budget, at this host or another.
	budgeted bool
	// elapsed is the time for which another host that relayed the request had it.
	elapsed time.Duration
	// firstArrival is when the request has arrived first, in an attempt that was refused here
	// maybe; zero before it is known. returned is set if it has returned when it was told to.
	firstArrival time.Time
	returned     bool
	// waited is how long the request has waited in queues of owners.
	waited time.Duration
	// queued is set while the request has its turn in the queue of the owner of its key.
	queued bool
	// fingerprint returns the fingerprint of the request. fingerprinted is set once it has been
	// called.
	fingerprint   func() poison.Fingerprint
	fingerprinted atomic.Bool
}

func (q *request) attemptRequest() attempt.Request {
	return attempt.Request{
		Idempotent: q.match.Route.Idempotent, MaxAttempts: q.match.Route.MaxAttempts + q.keptCount(),
		OneTarget: q.keyed(), Objective: q.match.Route.Objective,
	}
}

// newRequest returns a request that has no route yet.
func (p *Proxy) newRequest(r *http.Request) *request {
	q := &request{
		RequestInfo: platform.DecodeRequestHeaders(r.Header), method: r.Method, host: r.Host, header: r.Header, started: p.clock.Now(),
	}
	var hasQuery bool
	q.arrived = q.started.Add(-listener.Waited(r.Context()))
	q.path, q.query, hasQuery = strings.Cut(r.RequestURI, "?")
	q.emptyQuery = hasQuery && q.query == ""
	q.fingerprint = sync.OnceValue(q.newFingerprint)
	return q
}

// setRoute sets the match of a request in a configuration. It returns an error if there is
// none.
func (q *request) setRoute(match routing.Match, found bool, table *routing.Table) error {
	q.configVersion = table.Config().Version
	if !found {
		return q.fail(http.StatusNotFound, reasonNoRoute, nil)
	}
	q.match = match
	q.setDeadlines()
	if q.url("").EscapedPath() != q.path && strings.HasPrefix(q.path, "//") {
		return q.fail(http.StatusBadRequest, reasonInvalidPath, nil)
	}
	return nil
}

// defaultCallerTimeout applies to callers that do not state a timeout.
const defaultCallerTimeout = 30 * time.Second

// callerTimeout returns how long the caller waits for the response.
func (q *request) callerTimeout() time.Duration {
	if q.Timeout <= 0 {
		return defaultCallerTimeout
	}
	return q.Timeout
}

func (q *request) setDeadlines() {
	q.deadline = q.arrived.Add(min(q.callerTimeout(), q.match.Route.Timeout))
}
