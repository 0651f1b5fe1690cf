// Package daemon joins the decisions of package host to the outside: the log
// service, the host list, other hosts, targets, callers and operators.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	kitprometheus "github.com/go-kit/kit/metrics/prometheus"
	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/fold"
	"pineturn/core/host"
	"pineturn/core/lease"
	"pineturn/core/record"
	"pineturn/io/hostlist"
	"pineturn/io/listener"
	"pineturn/io/logservice"
	"pineturn/io/peer"
	"pineturn/io/security"
	"pineturn/io/target"
)

// Daemon is one running host. Each of its parts owns one goroutine and ends
// when it is closed.
type Daemon struct {
	settings Settings
	clock    clock.Clock
	host     *host.Host
	counts   *metrics
	log      *logservice.Client
	targets  *target.Client
	peers    *peer.Client
	server   *peer.Server
	keys     *security.Security

	reader    *reader
	writer    *writer
	keeper    *keeper
	beater    *beater
	proposer  *proposer
	reporter  *reporter
	candidate *candidate
	snapshots *snapshots
	requests  *requests
	parts     []*part
	stopping  []*part

	callers *httpListener
	others  *httpListener
	admin   *httpListener
	leaving chan struct{}
}

// New prepares a daemon by settings that Check has found no fault with. It
// does not listen or connect before Start. Errors tell which file of keys or
// certificates can't be read.
func New(settings Settings, source clock.Clock) (*Daemon, error) {
	keys, err := settings.Security.Open(source)
	if err != nil {
		return nil, errors.Wrap(err, "open keys and certificates")
	}
	now := source.Now()
	self := record.Member{
		Incarnation: record.Incarnation{Host: settings.Name, Run: uint64(now.UnixMicro())},
		Address:     settings.PeerAddress, Domain: settings.Domain,
	}
	options := host.Options{Lease: lease.Options{Life: settings.GrantLife}, Suspicion: settings.Suspicion}
	d := &Daemon{
		settings: settings, clock: source, counts: newMetrics(), log: logservice.New(settings.LogAddress),
		host: host.New(self, options, now), targets: target.New(source, targetOptions(keys)),
		leaving: make(chan struct{}, 1), keys: keys,
	}
	d.connect(self)
	d.assemble(self)
	return d, nil
}

// targetOptions are what the settings say of TLS and keys towards targets.
func targetOptions(keys *security.Security) target.Options {
	var options target.Options
	if certificates := keys.Targets(); certificates != nil {
		options.TLS = certificates.Client
	}
	if shared := keys.TargetKeys(); shared != nil {
		options.Authorize = shared.Authorize
	}
	return options
}

// now tells the time by the daemon's clock.
func (d *Daemon) now() time.Time { return d.clock.Now() }

// connect prepares the two ends of the protocol between hosts.
func (d *Daemon) connect(self record.Member) {
	options := peer.Options{Clock: d.clock, TLS: d.keys.PeerClient(), Metrics: peer.Metrics{
		Opened: kitprometheus.NewCounter(d.counts.peerOpened), Silent: kitprometheus.NewCounter(d.counts.peerSilent),
		Frames: kitprometheus.NewCounter(d.counts.peerFrames), Bytes: kitprometheus.NewCounter(d.counts.peerBytes),
	}}
	if keys := d.keys.PeerKeys(); keys != nil {
		options.Auth.Prove, options.Auth.Verify = keys.Prove, keys.Verify
	}
	if d.keys.CheckHost() {
		options.Auth.CheckHost = security.CheckName
	}
	who := func() record.Member { return self }
	d.peers = peer.NewClient(who, options)
	d.server = peer.New(who, options)
	d.server.OnCall = d.onCall
	d.server.OnRefused = func(address string, err error) {
		d.counts.peerRefused.Add(1)
		klog.V(1).InfoS("Refused another host", "address", address, "err", err)
	}
}

// assemble prepares the parts.
func (d *Daemon) assemble(self record.Member) {
	d.writer = newWriter(d.log, self.Incarnation, d.counts)
	d.beater = &beater{
		host: d.host, call: d.peers.Call, now: d.now, counts: d.counts, wake: make(chan struct{}, 1),
		folded: d.folded, beating: map[record.Incarnation]bool{},
	}
	d.keeper = &keeper{
		host: d.host, targets: d.targets, call: d.peers.Call, now: d.now, counts: d.counts,
		wake: make(chan struct{}, 1), jobs: make(chan func(context.Context)),
	}
	d.proposer = &proposer{host: d.host, submit: d.writer.Submit, now: d.now, wake: make(chan struct{}, 1)}
	d.reporter = &reporter{host: d.host, call: d.peers.Call, now: d.now, wake: make(chan struct{}, 1)}
	d.candidate = &candidate{
		host: d.host, call: d.peers.Call, members: d.otherMembers, now: d.now, wake: d.keeper.wake,
	}
	d.snapshots = &snapshots{
		host: d.host, log: d.log, now: d.now, counts: d.counts, interval: d.settings.SnapshotInterval,
		submit: d.writer.Submit,
	}
	d.reader = &reader{
		host: d.host, log: d.log, now: d.now, counts: d.counts, folded: d.folded, restore: d.snapshots.restore,
	}
	d.requests = newRequests(d)
	d.server.OnRequest = d.requests.onRequest
	d.reporter.warm = d.requests.warm
}

// Start listens and starts the parts.
func (d *Daemon) Start() error {
	var err error
	limit := d.settings.MaxHeaderBytes
	if d.others, err = listen(d.settings.PeerAddress, d.peerHandler(), limit, d.keys.PeerServer()); err != nil {
		return errors.Wrap(err, "listen for other hosts")
	}
	if d.admin, err = listen(d.settings.AdminAddress, d.adminHandler(), limit, d.keys.OperatorServer()); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	if d.callers, err = listen(d.settings.CallerAddress, d.requests.handler(), limit, nil); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	d.parts = []*part{
		start(d.reader.run), start(d.writer.run), start(d.beater.run), start(d.proposer.run), start(d.reporter.run),
		start(d.snapshots.run), start(d.requests.run), start(d.candidate.run),
	}
	d.stopping = []*part{start(d.keeper.run)}
	if d.settings.HostListAddress != "" {
		lister := &lister{
			host: d.host, client: hostlist.New(d.settings.HostListAddress), beater: d.beater, leave: d.leave,
			floor: d.reader.Floor,
		}
		d.parts = append(d.parts, start(lister.run))
	}
	klog.InfoS("Started", "host", d.host.Self().Incarnation.String(), "domain", d.settings.Domain)
	return nil
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, d.server)
	return mux
}

// folded passes on what the reader or the beater has taken in.
func (d *Daemon) folded(list []host.FoldedBatch) {
	if len(list) == 0 {
		return
	}
	for _, item := range list {
		d.count(item)
	}
	d.writer.Folded(list)
	d.host.ViewState(func(state *fold.State) { d.counts.diverged.Set(boolValue(state.Diverged())) })
	for _, wake := range []chan struct{}{d.keeper.wake, d.proposer.wake, d.beater.wake, d.reporter.wake} {
		signal(wake)
	}
}

func (d *Daemon) count(item host.FoldedBatch) {
	if item.Err != nil {
		d.counts.foldedOps.WithLabelValues("unreadable", "void").Add(1)
		klog.ErrorS(item.Err, "A record of the log is void", "offset", item.Offset)
	}
	for i, op := range item.Batch.Ops {
		verdict := "applied"
		if item.Results[i].Err != nil {
			verdict = "void"
		}
		d.counts.foldedOps.WithLabelValues(opName(op), verdict).Add(1)
	}
}

// leave asks for a graceful stop, as the platform's host list can.
func (d *Daemon) leave() { signal(d.leaving) }

// Leaving is signalled when the platform asks this host to go.
func (d *Daemon) Leaving() <-chan struct{} { return d.leaving }

// Stop hands over what the host leads, lets requests in flight end, and
// closes all parts, within the stop timeout.
func (d *Daemon) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	d.host.StartLeaving()
	signal(d.beater.wake)
	klog.InfoS("Leaving", "host", d.host.Self().Incarnation.String())
	d.handOver(ctx)
	err := d.callers.shutdown(ctx)
	d.requests.handOver(ctx)
	d.leaveMembership(ctx)
	err = errors.CombineErrors(err, d.server.Close(ctx))
	err = errors.CombineErrors(err, d.peers.Close(ctx))
	for _, part := range append(d.parts, d.stopping...) {
		part.Close()
	}
	err = errors.CombineErrors(err, d.others.shutdown(ctx))
	err = errors.CombineErrors(err, d.admin.shutdown(ctx))
	d.targets.Close()
	d.log.Close()
	klog.InfoS("Stopped", "host", d.host.Self().Incarnation.String())
	return errors.Wrap(err, "stop")
}

// handOver waits until this host leads nothing, for at most half the time
// that the stop may take, and not at all when nobody could take over.
func (d *Daemon) handOver(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
	defer cancel()
	for ctx.Err() == nil && d.host.HasSuccessor(d.now()) && d.host.HeldTargetCount() > 0 {
		clock.Sleep(ctx, leavePoll)
	}
}

// leaveMembership takes this host off the membership, if the log can be had.
func (d *Daemon) leaveMembership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	for ctx.Err() == nil {
		op, ok := d.host.LeaveOp()
		if !ok {
			return
		}
		if _, err := d.writer.Submit(ctx, []record.Op{op}); err != nil {
			return
		}
	}
}

// httpListener serves HTTP at one address.
type httpListener struct {
	server *http.Server
	conns  *listener.Listener
	done   chan struct{}
}

// listen serves handler at an IP:port, over TLS unless secure is nil.
func listen(address string, handler http.Handler, maxHeader int, secure *tls.Config) (*httpListener, error) {
	plain, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &httpListener{
		server: &http.Server{Handler: handler, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		conns:  listener.New(plain),
		done:   make(chan struct{}),
	}
	l.conns.Attach(l.server)
	var socket net.Listener = l.conns
	if secure != nil {
		socket = tls.NewListener(socket, secure)
	}
	go func() {
		defer close(l.done)
		if err := l.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "Listener failed", "address", address)
		}
	}()
	return l, nil
}

// shutdown refuses new connections and waits for requests in flight. No
// connection that waits to be accepted, or whose request was read, is closed.
func (l *httpListener) shutdown(ctx context.Context) error {
	err := l.conns.Drain()
	<-l.done
	if open := l.conns.CloseIdle(ctx); open > 0 {
		err = errors.CombineErrors(err, errors.Newf("%d connections still had a request", open))
	}
	err = errors.CombineErrors(err, l.server.Close())
	return errors.Wrap(err, "close listener")
}
