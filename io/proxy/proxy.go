// Package proxy takes callers' requests over HTTP and has targets run them.
package proxy

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"pineturn/core/attempt"
	"pineturn/core/budget"
	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
	"pineturn/core/routing"
	"pineturn/platform"
)

// Catalog are what the host knows of the configuration and the owners of keys.
type Catalog interface {
	Table() *routing.Table
	Assignment() *owner.Assignment
	Changed() <-chan struct{}
	// ChangedAt is when the owners were last read to have changed.
	ChangedAt() time.Time
}

// Proxy takes requests. Its function fields are set before use.
type Proxy struct {
	beliefs Catalog
	targets *placement.Set
	budget  *budget.Budget
	pool    *Pool
	clock   clock.Clock
	counts  counts
	// ending has ended once all requests are to have their final answers.
	ending context.Context
	giveUp context.CancelFunc
	// history belongs to the goroutine that calls Report.
	history *owner.Loads
	// HandleTrace is told of each request that has its final answer.
	HandleTrace func(Trace)
}

// Trace is what decided a request's outcome.
type Trace struct {
	ID            string
	Service       string
	Route         string
	ConfigVersion int64
	Keyed         bool
	Key           uint16
	// Target is the last one that the request was sent to, and Expected the time
	// that its answer should have taken.
	Target          string
	ExpectedLatency time.Duration
	Sends           int
	Status          int
	Reason          string
	Latency         time.Duration
	Cause           error
}

// New returns an entry.
func New(beliefs Catalog, targets *placement.Set, b *budget.Budget, pool *Pool, c clock.Clock) *Proxy {
	e := &Proxy{beliefs: beliefs, targets: targets, budget: b, pool: pool, clock: c, history: owner.NewLoads(c.Now()), HandleTrace: func(Trace) {}}
	e.ending, e.giveUp = context.WithCancel(context.Background())
	return e
}

// CancelRequests has all requests get their final answers at once, as the host ends. A
// target that never answers would otherwise leave its caller without one.
func (e *Proxy) CancelRequests() { e.giveUp() }

// Handler returns the handler of callers' requests.
func (e *Proxy) Handler() http.Handler {
	return kithttp.NewServer(e.endpoint(), e.decode, e.encode, kithttp.ServerErrorEncoder(e.encodeError))
}

// request is a caller's request on its way.
type request struct {
	platform.RequestInfo
	method string
	host   string
	path   string
	query  string
	// emptyQuery says that the path ends with a bare question mark.
	emptyQuery bool
	header     http.Header
	body       body
	match      routing.Match
	version    int64
	began      time.Time
	// deadline is when the caller is answered at the latest, patience when it
	// leaves.
	deadline time.Time
	patience time.Time
	progress attempt.Progress
	skip     []string
	// last is the target of the last send, expected what it should have taken.
	last     string
	expected time.Duration
}

func (q *request) rules() attempt.Request {
	return attempt.Request{
		Idempotent: q.match.Route.Idempotent, MaxAttempts: q.match.Route.MaxAttempts,
		OneTarget: q.keyed(), Objective: q.match.Route.Objective,
	}
}

// decode finds a request's route and reads its body.
func (e *Proxy) decode(_ context.Context, r *http.Request) (any, error) {
	q := &request{
		RequestInfo: platform.DecodeRequestHeaders(r.Header), method: r.Method, host: r.Host, header: r.Header, began: e.clock.Now(),
	}
	var hasQuery bool
	q.path, q.query, hasQuery = strings.Cut(r.RequestURI, "?")
	q.emptyQuery = hasQuery && q.query == ""
	table := e.beliefs.Table()
	if table == nil {
		return nil, q.refuse(reasonNoConfig, restartPause)
	}
	q.version = table.Config().Version
	match, ok := table.Find(r.Host, q.path)
	if !ok {
		return nil, q.fail(http.StatusNotFound, reasonNoRoute, nil)
	}
	q.match = match
	q.setDeadlines()
	e.budget.RecordRequest(match.Service.Name, q.began)
	if err := q.body.read(r, table.Config().Limits.MaxBodyBytes); err != nil {
		return nil, q.bodyFailure(err)
	}
	return q, nil
}

// defaultPatience is taken for callers that don't say how long they wait.
const defaultPatience = 30 * time.Second

func (q *request) setDeadlines() {
	patience := q.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	q.patience = q.began.Add(patience)
	q.deadline = q.began.Add(min(patience, q.match.Route.Timeout))
}

func (e *Proxy) endpoint() endpoint.Endpoint {
	return func(ctx context.Context, message any) (any, error) {
		q := message.(*request)
		ctx, cancel := context.WithTimeout(ctx, q.deadline.Sub(e.clock.Now()))
		keep := context.AfterFunc(e.ending, cancel)
		answer, err := e.serve(ctx, q)
		// An answer that has begun is passed on to its end.
		keep()
		if err != nil {
			cancel()
			return nil, err
		}
		answer.cancel = cancel
		return answer, nil
	}
}

// encode passes a target's answer on.
func (e *Proxy) encode(_ context.Context, w http.ResponseWriter, message any) error {
	a := message.(*answer)
	defer a.cancel()
	defer a.close()
	platform.CopyResponseHeaders(w.Header(), a.header)
	if a.rest == nil {
		setLength(w.Header(), a)
	}
	w.WriteHeader(a.status)
	if err := a.writeBody(w); err != nil {
		e.HandleTrace(a.request.trace(a.status, reasonCutOff, err, e.clock.Now()))
		// The caller must not take a part of the body for the whole.
		panic(http.ErrAbortHandler)
	}
	e.HandleTrace(a.request.trace(a.status, reasonAnswered, nil, e.clock.Now()))
	return nil
}

// encodeError writes an answer of the host's own.
func (e *Proxy) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	f := asFailure(err)
	platform.SetRefusalHeaders(w.Header(), f.request.ID, f.retryAfter)
	w.WriteHeader(f.status)
	e.HandleTrace(f.request.trace(f.status, f.reason, f.cause, e.clock.Now()))
}

func (q *request) trace(status int, reason string, cause error, now time.Time) Trace {
	t := Trace{
		ID: q.ID, ConfigVersion: q.version, Keyed: q.keyed(), Key: q.Key, Target: q.last, ExpectedLatency: q.expected, Sends: q.progress.Sends(),
		Status: status, Reason: reason, Latency: now.Sub(q.began), Cause: cause, Service: q.match.Service.Name,
	}
	if q.match.Route != nil {
		t.Route = q.match.Route.Name
	}
	return t
}
