package daemon

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	kitprometheus "github.com/go-kit/kit/metrics/prometheus"
	"k8s.io/klog/v2"

	"pineturn/core/admission"
	"pineturn/core/dedup"
	"pineturn/core/dispatch"
	"pineturn/core/fold"
	"pineturn/core/host"
	"pineturn/core/lease"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/retry"
	"pineturn/core/route"
	"pineturn/core/shard"
	"pineturn/io/caller"
)

// requestHandler handles callers' requests. Its ingress receives requests from callers
// and sends them to the leaseholder's host; its leaseholder sends requests to the
// targets that this host is the leaseholder of.
type requestHandler struct {
	host        *host.Host
	call        callFunc
	now         nowFunc
	dedup       *dedup.Table
	ingress     *dispatch.Ingress
	leaseholder *dispatch.Leaseholder
	metrics     *metrics
	daemon      *Daemon
}

func newRequestHandler(d *Daemon) *requestHandler {
	r := &requestHandler{
		host: d.host, call: d.peers.Call, now: d.now, metrics: d.metrics, daemon: d,
		dedup: dedup.New(d.clock, dedup.Options{}),
	}
	r.leaseholder = &dispatch.Leaseholder{
		Self: d.host.Self(), Clock: d.clock, Dedup: r.dedup,
		RouteShard: r.routeShard, Permit: r.permit, Send: d.targets.Send, Members: r.members, Witness: r.witness, QueryIDs: r.queryIDs,
	}
	r.dedup.Revoke = r.leaseholder.RevokeWitness
	r.ingress = &dispatch.Ingress{
		Self: d.host.Self(), Clock: d.clock, Dedup: r.dedup, Budget: retry.New(d.clock),
		Route: d.host.Route, Changed: d.host.Changed, Local: r.leaseholder.Serve, Forward: d.peers.Request,
	}
	return r
}

// handler returns the HTTP handler for callers.
func (r *requestHandler) handler() http.Handler {
	backend := caller.Backend{Handle: r.ingress.Handle, MaxBody: r.maxBody}
	instrument := caller.Instrument(
		r.daemon.clock, kitprometheus.NewCounter(r.metrics.requests), kitprometheus.NewHistogram(r.metrics.latency),
	)
	return caller.NewHandler(backend, instrument)
}

// run reacts to state changes until ctx is done: it drops the queues of targets
// that this host is no longer the leaseholder of, and replicates request
// ids again when the membership has changed.
func (r *requestHandler) run(ctx context.Context) {
	var epoch uint64
	for {
		changed := r.host.Changed()
		if now := r.membershipEpoch(); now != epoch {
			epoch = now
			r.repairReplicas(ctx)
		}
		for target := range r.leaseholder.QueueLoads() {
			leaseholder, ok := r.host.LeaseholderOf(target)
			if !ok || leaseholder.Incarnation != r.host.Self().Incarnation {
				r.leaseholder.CloseQueue(target)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// membershipEpoch returns the epoch of the current membership.
func (r *requestHandler) membershipEpoch() uint64 {
	var epoch uint64
	r.host.ViewState(func(state *fold.State) { epoch = state.Members().Epoch() })
	return epoch
}

// repairReplicas replicates each request id whose witness, the host that keeps a
// replica of the id, is no longer a member to another host.
func (r *requestHandler) repairReplicas(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, replicaRepairTimeout)
	defer cancel()
	if unreplicated := r.leaseholder.RepairReplicas(ctx); unreplicated > 0 {
		r.metrics.unreplicatedIDs.Set(float64(unreplicated))
		return
	}
	r.metrics.unreplicatedIDs.Set(0)
}

// replicateRequestIDs replicates all remembered request ids to other hosts before this
// host stops.
func (r *requestHandler) replicateRequestIDs(ctx context.Context) {
	if unreplicated := r.leaseholder.ReplicateIDs(ctx); unreplicated > 0 {
		klog.InfoS("Some ids of requests that must not be repeated were not replicated to other hosts", "ids", unreplicated)
	}
	r.leaseholder.Close()
}

// warmUp limits the requests to targets that report themselves as cold until they
// have warmed up.
func (r *requestHandler) warmUp() {
	for _, status := range r.host.Leases().Statuses(r.now()) {
		if status.Health == lease.HealthCold {
			r.leaseholder.WarmUp(status.Target)
		}
	}
}

// maxBody returns the maximum size of a request body of a service, in bytes, and
// whether the service exists. While this host has no state, maxBody returns 0 and
// true for any service, so that the request is refused later as not ready rather
// than as addressed to an unknown service.
func (r *requestHandler) maxBody(service string) (int64, bool) {
	if !r.host.Ready() {
		return 0, true
	}
	var (
		size int64
		ok   bool
	)
	r.host.ViewState(func(state *fold.State) {
		svc, exists := state.Config().Service(service)
		if ok = exists; exists {
			size = svc.MaxBody()
		}
	})
	return size, ok
}

// onRequest handles a request forwarded by another host.
func (r *requestHandler) onRequest(ctx context.Context, from record.Member, req *message.Request) (*message.Response, *outcome.Error) {
	return r.leaseholder.Serve(ctx, from, req)
}

// onWitness stores the id of a request that must not be repeated, on behalf of
// another host.
func (r *requestHandler) onWitness(request *message.Witness) (*message.Reply, error) {
	reply, ok := r.dedup.Witness(*request)
	if !ok {
		return nil, errors.New("too many ids are remembered here")
	}
	return &message.Reply{Witness: &reply}, nil
}

// onIDQuery returns the request ids that this host remembers.
func (r *requestHandler) onIDQuery(from record.Member, query *message.IDQuery) (*message.Reply, error) {
	reply := r.dedup.RememberedIDs(from.Incarnation, *query)
	return &message.Reply{IDs: &reply}, nil
}

// witness requests that another host store a request id.
func (r *requestHandler) witness(ctx context.Context, to record.Member, request message.Witness) (message.WitnessReply, error) {
	reply, err := r.call(ctx, to, &message.Call{Witness: &request})
	if err != nil {
		return message.WitnessReply{}, errors.Wrap(err, "request a witness")
	}
	if reply.Witness == nil {
		return message.WitnessReply{}, errors.New("request a witness: unexpected type of reply")
	}
	return *reply.Witness, nil
}

// queryIDs queries the request ids that another host remembers.
func (r *requestHandler) queryIDs(ctx context.Context, to record.Member, query message.IDQuery) (message.IDReply, error) {
	reply, err := r.call(ctx, to, &message.Call{IDs: &query})
	if err != nil {
		return message.IDReply{}, errors.Wrap(err, "query request ids")
	}
	if reply.IDs == nil {
		return message.IDReply{}, errors.New("query request ids: unexpected type of reply")
	}
	return *reply.IDs, nil
}

// routeShard returns the current route of a shard.
func (r *requestHandler) routeShard(id shard.ID) (route.Route, *outcome.Error) {
	return r.host.RouteShard(id)
}

// permit returns the permit to send one request, and a function to call when the
// request has ended. Until then the request counts as in flight.
func (r *requestHandler) permit(id shard.ID, epoch uint64, key string) (route.Permit, func(), *outcome.Error) {
	start := r.now()
	permit, target, refused := r.host.Leases().Permit(id, epoch, key, start)
	if refused != nil {
		return permit, nil, refused
	}
	done := func() {
		now := r.now()
		r.host.Leases().EndRequest(target, permit.Token, id, key, now.Sub(start), now)
		signal(r.daemon.orderSender.wake)
	}
	return permit, done, nil
}

// members returns the members of the cluster.
func (r *requestHandler) members() []record.Member {
	var list []record.Member
	r.host.ViewState(func(state *fold.State) { list = append(list, state.Members().Current()...) })
	return list
}

// requestsDump is the part of a state dump about requests.
type requestsDump struct {
	Ingress     dispatch.IngressCounts     `json:"entry"`
	Leaseholder dispatch.LeaseholderCounts `json:"holder"`
	Queues      map[string]admission.Load  `json:"queues"`
	// IDs is the number of request ids that this host remembers.
	IDs int `json:"ids_remembered"`
	// InFlight is the number of requests in flight to targets.
	InFlight int `json:"in_flight"`
}

func (r *requestHandler) dump() requestsDump {
	out := requestsDump{
		Ingress: r.ingress.Counts(), Leaseholder: r.leaseholder.Counts(), Queues: map[string]admission.Load{},
		IDs: r.dedup.Len(), InFlight: r.host.Leases().InFlight(),
	}
	for target, load := range r.leaseholder.QueueLoads() {
		out.Queues[target.String()] = load
	}
	return out
}
