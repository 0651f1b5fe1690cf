// Package proxy forwards callers' HTTP requests to targets and returns the
// targets' responses. It queues, retries and hedges requests within their
// deadlines. A request that is not idempotent is never sent again once a target
// may have run it.
package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"golang.org/x/sync/singleflight"

	"pineturn/core/attempt"
	"pineturn/core/budget"
	"pineturn/core/clock"
	"pineturn/core/latency"
	"pineturn/core/owner"
	"pineturn/core/peers"
	"pineturn/core/placement"
	"pineturn/core/poison"
	"pineturn/core/reach"
	"pineturn/core/routing"
	"pineturn/io/http1"
	"pineturn/platform"
)

// Catalog provides the configuration and the owners of keys as last read by this
// host. Table and Assignment return nil before the first read.
type Catalog interface {
	Table() *routing.Table
	Assignment() *owner.Assignment
	// Changed returns a channel that is closed at the next change of owners.
	Changed() <-chan struct{}
	// ChangedAt returns the time of the last change of owners that was read.
	ChangedAt() time.Time
	// ReadConfig makes this host read the configuration from the store now.
	ReadConfig()
}

// Proxy forwards requests. Its function fields must be set before use.
type Proxy struct {
	catalog   Catalog
	targets   *placement.Set
	budget    *budget.Budget
	poison    *poison.Tracker
	pool      *Pool
	clock     clock.Clock
	keyCounts keyCounts
	// shutdownCtx is cancelled by CancelRequests.
	shutdownCtx context.Context
	cancelAll   context.CancelFunc
	// loads is accessed only by the goroutine that calls Report.
	loads *owner.Loads
	// reach and peers tell whether this host has a path to the targets of a service, and
	// which other host has one.
	reach         *reach.Detector
	peers         *peers.Table
	peerTransport http1.Transport
	peerProbes    singleflight.Group
	probes        probeCounts
	// reserve holds the attempts that are kept back of relayed requests.
	reserve *attempt.Reserve
	// OwnerQueue reports whether keyed requests are relayed to the host that holds the queue of
	// their owner. It is set before use.
	OwnerQueue func() bool
	// Dispatches reports whether requests without keys are relayed to the hosts that select
	// targets for all of a failure domain. It is set before use.
	Dispatches func() bool
	queues     ownerQueues
	// peerVersion is the newest version of the configuration by which another host has served
	// a relayed request.
	peerVersion atomic.Int64
	// detachedMu orders the changes of the services that other hosts take this host to be
	// detached for.
	detachedMu sync.Mutex
	// ends holds the targets that are being probed because a response of theirs was lost.
	ends        endProbes
	limitErrors headerErrors
	restErrors  headerErrors
	// stopping is set once requests of other hosts are refused.
	stopping atomic.Bool
	// relays holds the requests in progress that other hosts have relayed to this one.
	relays relays
	// latencies holds the latencies of the requests that this host has sent or relayed, by route.
	latencies   latency.Table
	longAnswers longAnswers
	// stop is the stop of this host; nil before.
	stop atomic.Pointer[hostStop]
	done chan struct{}
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// HandleRecord is called for each request once its response has been written
	// or cut off.
	HandleRecord func(RequestRecord)
}

// RequestRecord describes how a request was handled and what its outcome depended on.
type RequestRecord struct {
	// ID is the request id that the caller sent.
	ID string
	// Service and Route are the names of the service and the route that the request
	// was matched to; empty for none.
	Service string
	Route   string
	// ConfigVersion is the version of the configuration that the request was routed
	// by.
	ConfigVersion int64
	// Keyed reports whether the request was routed by its key, Key.
	Keyed bool
	Key   uint16
	// Via is the address of the host that the request was last relayed to; empty for
	// none. Relayed reports that another host relayed the request to this one.
	Via     string
	Relayed bool
	// LostRelays is the number of times that the request was relayed to another host and it is not
	// known what that host did with it.
	LostRelays int
	// Suspected is the number of sends of the request that looked lost while they went on.
	Suspected int
	// KeptAttempt is the outcome of asking the host that relayed the request for an attempt that it
	// keeps back; empty if it was not asked.
	KeptAttempt string
	// Fingerprint identifies requests that are the same but for their ids; empty if it was not
	// needed.
	Fingerprint string
	// Target is the last target that the request was sent to, or the owner of its key
	// if that had no capacity; empty for none.
	Target string
	// Waited is how long the request has waited at this host in the queue of an owner.
	Waited time.Duration
	// Estimate is what was assumed of an owner without capacity; nil for none.
	Estimate *placement.Estimate
	// ExpectedLatency is the estimated time to the response of Target.
	ExpectedLatency time.Duration
	// Sends is the number of times that the request was sent to a target.
	Sends int
	// Status is the HTTP status of the final response.
	Status int
	// Reason is the reason of the outcome, as written to logs and metrics.
	Reason string
	// Latency is the time from the arrival of the request to its final response.
	Latency time.Duration
	// Cause is the error that led to the outcome; nil for none.
	Cause error
}

// New returns a proxy, which relays requests to the hosts of others while it has no path
// to their targets. It reports the results of connections through pool.
func New(catalog Catalog, targets *placement.Set, b *budget.Budget, tracker *poison.Tracker, pool *Pool, others *peers.Table, clk clock.Clock) *Proxy {
	p := &Proxy{
		catalog: catalog, targets: targets, budget: b, poison: tracker, pool: pool, clock: clk, loads: owner.NewLoads(clk.Now()),
		reach: reach.New(), peers: others, peerTransport: newPeerTransport(), reserve: attempt.NewReserve(), done: make(chan struct{}), HandleRecord: func(RequestRecord) {},
		OwnerQueue: func() bool { return false }, Dispatches: func() bool { return false }, queues: newOwnerQueues(),
	}
	p.queues.load = p.targetOfQueue
	pool.HandleDial = p.recordDial
	p.shutdownCtx, p.cancelAll = context.WithCancel(context.Background())
	return p
}

// CancelRequests cancels all requests that still wait for a target, so that their
// callers get a final response before the host exits. Otherwise the caller of a
// target that never responds would get none.
func (p *Proxy) CancelRequests() { p.cancelAll() }

// RefuseRelayed refuses requests that other hosts relay from now on, because this host
// stops.
func (p *Proxy) RefuseRelayed() {
	p.stopping.Store(true)
	p.peers.Stop()
}

// Handler returns the HTTP handler for callers' requests.
func (p *Proxy) Handler() http.Handler {
	return kithttp.NewServer(p.endpoint(), p.decode, p.encode, kithttp.ServerErrorEncoder(p.encodeError))
}

// Idempotent reports whether a caller's request may run more than once.
func (p *Proxy) Idempotent(r *http.Request) bool {
	route, ok := p.route(r)
	return ok && route.Idempotent
}

// decode matches a request to a route and reads its body.
func (p *Proxy) decode(_ context.Context, r *http.Request) (any, error) {
	q := p.newRequest(r)
	table := p.catalog.Table()
	if table == nil {
		return nil, q.refuse(reasonNoConfig, configLoadTime)
	}
	match, ok := table.Find(q.host, q.path)
	if err := q.setRoute(match, ok, table); err != nil {
		return nil, err
	}
	if err := q.body.read(r, table.Config().Limits.MaxBodyBytes); err != nil {
		return nil, q.bodyError(err)
	}
	return q, nil
}

func (p *Proxy) endpoint() endpoint.Endpoint {
	return func(ctx context.Context, message any) (any, error) {
		q := message.(*request)
		ctx, cancel := context.WithTimeout(ctx, q.deadline.Sub(p.clock.Now()))
		stop := context.AfterFunc(p.shutdownCtx, cancel)
		response, err := p.serve(ctx, q)
		// A response that has begun is written completely, also during shutdown.
		stop()
		if err != nil {
			cancel()
			return nil, err
		}
		response.cancel = cancel
		return response, nil
	}
}

// encode writes a target's response to the caller.
func (p *Proxy) encode(_ context.Context, w http.ResponseWriter, message any) error {
	r := message.(*response)
	defer r.cancel()
	defer r.close()
	platform.CopyResponseHeaders(w.Header(), r.header)
	if r.unread == nil {
		setContentLength(w.Header(), r)
	} else {
		p.longAnswers.record(r.request.match.Route.Name, p.clock.Now())
	}
	r.request.body.prepare(w)
	w.WriteHeader(r.status)
	if err := r.writeBody(w); err != nil {
		p.HandleRecord(r.request.record(r.status, reasonResponseCutOff, err, p.clock.Now()))
		// Abort the connection: the caller must not take a truncated body for a
		// complete one.
		panic(http.ErrAbortHandler)
	}
	p.HandleRecord(r.request.record(r.status, reasonResponded, nil, p.clock.Now()))
	r.request.body.finish(w, r.request.timeLeft(p.clock.Now()))
	return nil
}

// encodeError writes the host's own response to a request that failed.
func (p *Proxy) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	f := asFailure(err)
	platform.SetRefusalHeaders(w.Header(), f.request.ID, f.retryAfter)
	if f.request.body.streaming() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(f.status)
	p.HandleRecord(f.request.record(f.status, f.reason, f.cause, p.clock.Now()))
}

func (q *request) record(status int, reason string, cause error, now time.Time) RequestRecord {
	r := RequestRecord{
		ID: q.ID, ConfigVersion: q.configVersion, Keyed: q.keyed(), Key: q.Key, Via: q.via, Relayed: q.relayed, LostRelays: q.lostRelays, Suspected: q.suspected, Target: q.lastTarget, ExpectedLatency: q.expectedLatency, Estimate: q.estimate, Waited: q.waited, Sends: q.progress.Sends() - q.keptCount(),
		Status: status, Reason: reason, Latency: now.Sub(q.arrived), Cause: cause, Service: q.match.Service.Name,
	}
	if q.kept != nil {
		r.KeptAttempt = q.kept.outcome
	}
	if q.match.Route != nil {
		r.Route = q.match.Route.Name
	}
	if q.fingerprinted.Load() && reason != reasonResponded {
		r.Fingerprint = q.fingerprint().String()
	}
	return r
}
