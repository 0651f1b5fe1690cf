// Package daemon runs a host: it connects the decision logic of package host to
// the log service, the host list, other hosts, targets, callers and operators.
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

// Daemon is a running host. Each of its components runs in a goroutine of its
// own until Stop.
type Daemon struct {
	settings    Settings
	clock       clock.Clock
	host        *host.Host
	metrics     *metrics
	log         *logservice.Client
	targets     *target.Client
	peers       *peer.Client
	server      *peer.Server
	credentials *security.Credentials

	reader      *reader
	writer      *writer
	orderSender *orderSender
	heartbeater *heartbeater
	proposer    *proposer
	reporter    *reporter
	candidate   *candidate
	snapshots   *snapshots
	requests    *requestHandler
	// tasks run the components. lastTasks are closed after all other tasks.
	tasks     []*task
	lastTasks []*task

	callerListener   *httpListener
	peerListener     *httpListener
	operatorListener *httpListener
	leaveRequested   chan struct{}
}

// New returns a daemon with settings that Settings.Check has accepted. The
// daemon does not listen or connect before Start. New returns an error if a key
// or certificate file cannot be read. The error names the file, unless the content
// of a certificate or of its private key is invalid.
func New(settings Settings, clk clock.Clock) (*Daemon, error) {
	credentials, err := settings.Security.Open(clk)
	if err != nil {
		return nil, errors.Wrap(err, "open keys and certificates")
	}
	now := clk.Now()
	self := record.Member{
		Incarnation: record.Incarnation{Host: settings.Name, Run: uint64(now.UnixMicro())},
		Address:     settings.PeerAddress, Domain: settings.Domain,
	}
	options := host.Options{Lease: lease.Options{MaxGrantDuration: settings.GrantLife}, Suspicion: settings.Suspicion}
	d := &Daemon{
		settings: settings, clock: clk, metrics: newMetrics(), log: logservice.New(settings.LogAddress),
		host: host.New(self, options, now), targets: target.New(clk, targetOptions(credentials)),
		leaveRequested: make(chan struct{}, 1), credentials: credentials,
	}
	d.setUpPeers(self)
	d.setUpComponents(self)
	return d, nil
}

// targetOptions returns the TLS and authorization options for connections to
// targets.
func targetOptions(credentials *security.Credentials) target.Options {
	var options target.Options
	if certificates := credentials.TargetCertificates(); certificates != nil {
		options.TLS = certificates.ClientConfig
	}
	if shared := credentials.TargetKeys(); shared != nil {
		options.Authorize = shared.Authorize
	}
	return options
}

// now returns the current time of the daemon's clock.
func (d *Daemon) now() time.Time { return d.clock.Now() }

// setUpPeers creates the client and the server of the peer protocol.
func (d *Daemon) setUpPeers(self record.Member) {
	options := peer.Options{Clock: d.clock, TLS: d.credentials.PeerClientTLS(), Metrics: peer.Metrics{
		Opened: kitprometheus.NewCounter(d.metrics.peerOpened), Silent: kitprometheus.NewCounter(d.metrics.peerSilent),
		Frames: kitprometheus.NewCounter(d.metrics.peerFrames), Bytes: kitprometheus.NewCounter(d.metrics.peerBytes),
	}}
	if keys := d.credentials.PeerKeys(); keys != nil {
		options.Auth.Prove, options.Auth.Verify = keys.Prove, keys.Verify
	}
	if d.credentials.CheckHost() {
		options.Auth.CheckHost = security.CheckHostName
	}
	identity := func() record.Member { return self }
	d.peers = peer.NewClient(identity, options)
	d.server = peer.NewServer(identity, options)
	d.server.OnCall = d.onCall
	d.server.OnConnError = func(address string, err error) {
		d.metrics.peerRefused.Add(1)
		klog.V(1).InfoS("Refused a peer connection, or closed it after an error of the other host", "address", address, "err", err)
	}
}

// setUpComponents creates the components of the daemon.
func (d *Daemon) setUpComponents(self record.Member) {
	d.writer = newWriter(d.log, self.Incarnation, d.metrics)
	d.heartbeater = &heartbeater{
		host: d.host, call: d.peers.Call, now: d.now, metrics: d.metrics, wake: make(chan struct{}, 1),
		onFolded: d.onFolded, inFlight: map[record.Incarnation]bool{},
	}
	d.orderSender = &orderSender{
		host: d.host, targets: d.targets, call: d.peers.Call, now: d.now, metrics: d.metrics,
		wake: make(chan struct{}, 1), jobs: make(chan func(context.Context)),
	}
	d.proposer = &proposer{host: d.host, submit: d.writer.Submit, now: d.now, wake: make(chan struct{}, 1)}
	d.reporter = &reporter{host: d.host, call: d.peers.Call, now: d.now, wake: make(chan struct{}, 1)}
	d.candidate = &candidate{
		host: d.host, call: d.peers.Call, members: d.otherMembers, now: d.now, wake: d.orderSender.wake,
	}
	d.snapshots = &snapshots{
		host: d.host, log: d.log, now: d.now, metrics: d.metrics, interval: d.settings.SnapshotInterval,
		submit: d.writer.Submit,
	}
	d.reader = &reader{
		host: d.host, log: d.log, now: d.now, metrics: d.metrics, onFolded: d.onFolded, restore: d.snapshots.restore,
	}
	d.requests = newRequestHandler(d)
	d.server.OnRequest = d.requests.onRequest
	d.reporter.warmUp = d.requests.warmUp
}

// Start opens the listeners and starts the components.
func (d *Daemon) Start() error {
	var err error
	maxHeader := d.settings.MaxHeaderBytes
	if d.peerListener, err = listen(d.settings.PeerAddress, d.peerHandler(), maxHeader, d.credentials.PeerServerTLS(), nil); err != nil {
		return errors.Wrap(err, "listen for other hosts")
	}
	if d.operatorListener, err = listen(d.settings.AdminAddress, d.operatorHandler(), maxHeader, d.credentials.OperatorServerTLS(), nil); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	if d.callerListener, err = listen(d.settings.CallerAddress, d.requests.handler(), maxHeader, nil, d.host.Leaving); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	d.tasks = []*task{
		startTask(d.reader.run), startTask(d.writer.run), startTask(d.heartbeater.run), startTask(d.proposer.run), startTask(d.reporter.run),
		startTask(d.snapshots.run), startTask(d.requests.run), startTask(d.candidate.run),
	}
	d.lastTasks = []*task{startTask(d.orderSender.run)}
	if d.settings.HostListAddress != "" {
		watcher := &hostListWatcher{
			host: d.host, client: hostlist.New(d.settings.HostListAddress), heartbeater: d.heartbeater, leave: d.requestLeave,
			earliest: d.reader.EarliestOffset,
		}
		d.tasks = append(d.tasks, startTask(watcher.run))
	}
	klog.InfoS("Started", "host", d.host.Self().Incarnation.String(), "domain", d.settings.Domain)
	return nil
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, d.server)
	return mux
}

// onFolded passes records that the reader or the heartbeater has folded to the
// metrics and to the components that depend on them.
func (d *Daemon) onFolded(list []host.FoldedBatch) {
	if len(list) == 0 {
		return
	}
	for _, item := range list {
		d.countFolded(item)
	}
	d.writer.OnFolded(list)
	d.host.ViewState(func(state *fold.State) { d.metrics.diverged.Set(boolValue(state.Diverged())) })
	for _, wake := range []chan struct{}{d.orderSender.wake, d.proposer.wake, d.heartbeater.wake, d.reporter.wake} {
		signal(wake)
	}
}

func (d *Daemon) countFolded(item host.FoldedBatch) {
	if item.Err != nil {
		d.metrics.foldedOps.WithLabelValues("unreadable", "void").Add(1)
		klog.ErrorS(item.Err, "Log record cannot be decoded and is void", "offset", item.Offset)
	}
	for i, op := range item.Batch.Ops {
		result := "applied"
		if item.Results[i].Err != nil {
			result = "void"
		}
		d.metrics.foldedOps.WithLabelValues(opName(op), result).Add(1)
	}
}

// requestLeave requests a graceful stop on behalf of the platform's host list.
func (d *Daemon) requestLeave() { signal(d.leaveRequested) }

// LeaveRequested returns a channel that receives a value when the platform has
// requested that this host shut down.
func (d *Daemon) LeaveRequested() <-chan struct{} { return d.leaveRequested }

// Stop hands over the targets that this host is the leaseholder of, waits for
// requests in flight and closes all components, within the stop timeout.
func (d *Daemon) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	d.host.StartLeaving()
	d.requests.ingress.StopAt(d.now().Add(d.settings.StopTimeout - min(finalResponseTime, d.settings.StopTimeout/finalResponseDivisor)))
	signal(d.heartbeater.wake)
	klog.InfoS("Shutting down", "host", d.host.Self().Incarnation.String())
	d.handOverTargets(ctx)
	if err := d.callerListener.conns.StopNew(); err != nil {
		klog.ErrorS(err, "Failed to stop new connections of callers")
	}
	err := d.callerListener.shutdown(ctx)
	d.requests.replicateRequestIDs(ctx)
	d.leaveMembership(ctx)
	err = errors.CombineErrors(err, d.server.Close(ctx))
	err = errors.CombineErrors(err, d.peers.Close(ctx))
	for _, task := range append(d.tasks, d.lastTasks...) {
		task.Close()
	}
	err = errors.CombineErrors(err, d.peerListener.shutdown(ctx))
	err = errors.CombineErrors(err, d.operatorListener.shutdown(ctx))
	d.targets.Close()
	d.log.CloseIdleConnections()
	klog.InfoS("Stopped", "host", d.host.Self().Incarnation.String())
	return errors.Wrap(err, "stop")
}

// handOverTargets waits until this host is the leaseholder of no target, for at most
// half of the time that is left to stop. It returns early if no other host could
// take over.
func (d *Daemon) handOverTargets(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
	defer cancel()
	for ctx.Err() == nil && d.host.HasSuccessor(d.now()) && d.host.HeldTargetCount() > 0 {
		clock.Sleep(ctx, handoverPollInterval)
	}
}

// leaveMembership removes this host from the membership. It gives up when an
// append fails or leaveMembershipTimeout has passed.
func (d *Daemon) leaveMembership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveMembershipTimeout)
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

// httpListener is an HTTP server that listens at one address.
type httpListener struct {
	server *http.Server
	conns  *listener.Listener
	done   chan struct{}
}

// listen starts to serve handler at an IP:port, over TLS unless tlsConfig is
// nil. maxHeader is the maximum size of a request header in bytes. Responses end their connections
// while closing, unless it is nil, returns true.
func listen(address string, handler http.Handler, maxHeader int, tlsConfig *tls.Config, closing func() bool) (*httpListener, error) {
	conns, err := listener.Listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if closing != nil {
		handler = conns.CloseWhen(closing, handler)
	}
	l := &httpListener{
		server: &http.Server{Handler: handler, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		conns:  conns,
		done:   make(chan struct{}),
	}
	l.conns.Attach(l.server)
	var netListener net.Listener = l.conns
	if tlsConfig != nil {
		netListener = tls.NewListener(netListener, tlsConfig)
	}
	go func() {
		defer close(l.done)
		if err := l.server.Serve(netListener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "Failed to serve HTTP", "address", address)
		}
	}()
	return l, nil
}

// shutdown stops listening and waits for requests in flight until ctx is done.
// Until then it closes neither a connection that is pending in the accept queue
// nor one from which a request has been read.
func (l *httpListener) shutdown(ctx context.Context) error {
	err := l.conns.Drain()
	<-l.done
	if open := l.conns.CloseIdle(ctx); open > 0 {
		err = errors.CombineErrors(err, errors.Newf("%d connections closed with a request in flight", open))
	}
	err = errors.CombineErrors(err, l.server.Close())
	return errors.Wrap(err, "close listener")
}
