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

// requests joins the two ends of a request's way: entry and holder.
type requests struct {
	host   *host.Host
	peers  callFunc
	now    nowFunc
	memory *dedup.Table
	entry  *dispatch.Ingress
	holder *dispatch.Leaseholder
	counts *metrics
	daemon *Daemon
}

func newRequests(d *Daemon) *requests {
	r := &requests{
		host: d.host, peers: d.peers.Call, now: d.now, counts: d.counts, daemon: d,
		memory: dedup.New(d.clock, dedup.Options{}),
	}
	r.holder = &dispatch.Leaseholder{
		Self: d.host.Self(), Clock: d.clock, Dedup: r.memory,
		RouteShard: r.find, Permit: r.permit, Send: d.targets.Send, Members: r.members, Witness: r.witness, QueryIDs: r.recall,
	}
	r.memory.Revoke = r.holder.RevokeWitness
	r.entry = &dispatch.Ingress{
		Self: d.host.Self(), Clock: d.clock, Dedup: r.memory, Budget: retry.New(d.clock),
		Route: d.host.Route, Changed: d.host.Changed, Local: r.holder.Serve, Forward: d.peers.Request,
	}
	return r
}

// handler serves callers.
func (r *requests) handler() http.Handler {
	entry := caller.Entry{Handle: r.entry.Handle, MaxBody: r.maxBody}
	instrument := caller.Instrument(
		r.daemon.clock, kitprometheus.NewCounter(r.counts.requests), kitprometheus.NewHistogram(r.counts.latency),
	)
	return r.closing(caller.NewHandler(entry, instrument))
}

// closing asks callers of a leaving host to open their next connection
// elsewhere.
func (r *requests) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.host.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

// run follows the state: it drops the queues of targets that this host no
// longer leads, and has ids remembered elsewhere when a member has gone.
func (r *requests) run(ctx context.Context) {
	var epoch uint64
	for {
		changed := r.host.Changed()
		if now := r.epoch(); now != epoch {
			epoch = now
			r.repair(ctx)
		}
		for target := range r.holder.QueueLoads() {
			holder, ok := r.host.HolderOf(target)
			if !ok || holder.Incarnation != r.host.Self().Incarnation {
				r.holder.CloseQueue(target)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// epoch is that of the membership.
func (r *requests) epoch() uint64 {
	var epoch uint64
	r.host.ViewState(func(state *fold.State) { epoch = state.Members().Epoch() })
	return epoch
}

// repair finds a second host for ids whose second host is no member any more.
func (r *requests) repair(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	if alone := r.holder.RepairReplicas(ctx); alone > 0 {
		r.counts.idsAlone.Set(float64(alone))
		return
	}
	r.counts.idsAlone.Set(0)
}

// handOver lets other hosts know every remembered id, before this one stops.
func (r *requests) handOver(ctx context.Context) {
	if alone := r.holder.ReplicateIDs(ctx); alone > 0 {
		klog.InfoS("Some ids of requests that must not be repeated stay behind", "ids", alone)
	}
	r.holder.Close()
}

// warm lets targets that say they are cold have few requests at first.
func (r *requests) warm() {
	for _, status := range r.host.Leases().Statuses(r.now()) {
		if status.Health == lease.HealthCold {
			r.holder.WarmUp(status.Target)
		}
	}
}

// maxBody returns the largest body of a service's requests. A host that knows
// no state refuses later, as not ready, rather than the service as unknown.
func (r *requests) maxBody(service string) (int64, bool) {
	if !r.host.Ready() {
		return 0, true
	}
	var (
		size int64
		ok   bool
	)
	r.host.ViewState(func(state *fold.State) {
		found, known := state.Config().Service(service)
		if ok = known; known {
			size = found.MaxBody()
		}
	})
	return size, ok
}

// onRequest serves a request that another host passed on.
func (r *requests) onRequest(ctx context.Context, from record.Member, req *message.Request) (*message.Answer, *outcome.Error) {
	return r.holder.Serve(ctx, from, req)
}

// onWitness remembers the id of a request that must not be repeated.
func (r *requests) onWitness(ask *message.Witness) (*message.Reply, error) {
	answer, ok := r.memory.Witness(*ask)
	if !ok {
		return nil, errors.New("too many ids are remembered here")
	}
	return &message.Reply{Witness: &answer}, nil
}

// onRecall lists the ids that this host remembers.
func (r *requests) onRecall(from record.Member, ask *message.IDQuery) (*message.Reply, error) {
	answer := r.memory.RememberedIDs(from.Incarnation, *ask)
	return &message.Reply{IDs: &answer}, nil
}

// witness asks another host to remember an id.
func (r *requests) witness(ctx context.Context, to record.Member, ask message.Witness) (message.WitnessReply, error) {
	reply, err := r.peers(ctx, to, &message.Call{Witness: &ask})
	if err != nil {
		return message.WitnessReply{}, errors.Wrap(err, "ask a witness")
	}
	if reply.Witness == nil {
		return message.WitnessReply{}, errors.New("ask a witness: no answer of that kind")
	}
	return *reply.Witness, nil
}

// recall asks another host which ids it remembers.
func (r *requests) recall(ctx context.Context, to record.Member, ask message.IDQuery) (message.IDReply, error) {
	reply, err := r.peers(ctx, to, &message.Call{IDs: &ask})
	if err != nil {
		return message.IDReply{}, errors.Wrap(err, "recall ids")
	}
	if reply.IDs == nil {
		return message.IDReply{}, errors.New("recall ids: no answer of that kind")
	}
	return *reply.IDs, nil
}

// find returns the present way of a shard.
func (r *requests) find(id shard.ID) (route.Route, *outcome.Error) { return r.host.RouteShard(id) }

// permit allows one request to be sent, and counts it until it has ended.
func (r *requests) permit(id shard.ID, epoch uint64, key string) (route.Permit, func(), *outcome.Error) {
	start := r.now()
	permit, target, refused := r.host.Leases().Permit(id, epoch, key, start)
	if refused != nil {
		return permit, nil, refused
	}
	done := func() {
		now := r.now()
		r.host.Leases().Done(target, permit.Term, id, key, now.Sub(start), now)
		signal(r.daemon.keeper.wake)
	}
	return permit, done, nil
}

// members lists the members of the cluster.
func (r *requests) members() []record.Member {
	var list []record.Member
	r.host.ViewState(func(state *fold.State) { list = append(list, state.Members().Current()...) })
	return list
}

// requestsDump is what a dump shows of requests.
type requestsDump struct {
	Entry    dispatch.IngressCounts     `json:"entry"`
	Holder   dispatch.LeaseholderCounts `json:"holder"`
	Queues   map[string]admission.Load  `json:"queues"`
	IDs      int                        `json:"ids_remembered"`
	InFlight int                        `json:"in_flight"`
}

func (r *requests) dump() requestsDump {
	out := requestsDump{
		Entry: r.entry.Counts(), Holder: r.holder.Counts(), Queues: map[string]admission.Load{},
		IDs: r.memory.Len(), InFlight: r.host.Leases().InFlight(),
	}
	for target, load := range r.holder.QueueLoads() {
		out.Queues[target.String()] = load
	}
	return out
}
