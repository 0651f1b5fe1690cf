// Package gateway runs one host on the users' platform: the host serves callers'
// requests, reads the platform's store, and may be the leader of the hosts.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/budget"
	"pineturn/core/clock"
	"pineturn/core/feature"
	"pineturn/core/hostcount"
	"pineturn/core/owner"
	"pineturn/core/peers"
	"pineturn/core/placement"
	"pineturn/core/poison"
	"pineturn/core/ratelimit"
	"pineturn/io/coordinator"
	"pineturn/io/hostlink"
	"pineturn/io/listener"
	"pineturn/io/logsink"
	"pineturn/io/metastore"
	"pineturn/io/proxy"
	"pineturn/io/socket"
	"pineturn/platform"
)

const (
	// gcPercent is the heap growth between garbage collections, in percent.
	gcPercent = 20
	// headerTimeout limits the time to read a request header.
	headerTimeout = 15 * time.Second
	// callerSocketShare is the share of the sockets that callers' connections may take. The others are
	// for targets, other hosts, the store and the load balancer.
	callerSocketShare = 0.6
	// settingsPollInterval is the time between checks of the settings file.
	settingsPollInterval = time.Second
	// pruneInterval is the time between removals of connections to targets that
	// no longer exist.
	pruneInterval = 2 * time.Second
	// incarnationBytes is the length of an incarnation before hex encoding, in
	// bytes.
	incarnationBytes = 8
	// maxHeaderBytes limits the size of a caller's request header, in bytes.
	maxHeaderBytes = 64 << 10
)

// Gateway is a host on the users' platform.
type Gateway struct {
	settingsPath string
	settings     *platform.Settings
	clock        clock.Clock
	store        *platform.Store
	targets      *placement.Set
	catalog      *metastore.Catalog
	coordinator  *coordinator.Coordinator
	pool         *proxy.Pool
	budget       *budget.Budget
	poison       *poison.Tracker
	hosts        *hostcount.Counter
	limits       *ratelimit.Divider
	proxy        *proxy.Proxy
	ownerQueue   *feature.Switch
	// learnedConcurrency tells whether requests are sent by what was learned of targets.
	learnedConcurrency *feature.Switch
	metrics            *metrics
	incarnation        string
	started            time.Time
	// callerServer serves callers, readyServer the health checks of the load
	// balancer, peerServer other hosts, and operatorServer operators.
	callerServer    *http.Server
	readyServer     *http.Server
	peerServer      *http.Server
	operatorServer  *http.Server
	links           *hostlink.Server
	peers           *peers.Table
	reporter        *hostlink.Reporter
	finder          *hostlink.Finder
	stop            *stopState
	logs            *logsink.Sink
	operatorAddress string
}

// New returns a host with the settings file at path. Metrics and the state dump
// are served on adminPort of the host's address; zero selects a free port.
func New(path string, logs *logsink.Sink, adminPort int) (*Gateway, error) {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(settings.Memory / 2)
	g := &Gateway{settingsPath: path, settings: settings, clock: clock.Boot{}, incarnation: incarnation, metrics: newMetrics(), logs: logs}
	g.operatorAddress = net.JoinHostPort(settings.Address, strconv.Itoa(adminPort))
	g.started = g.clock.Now()
	g.createTables()
	g.createProxy()
	g.createCoordinator()
	g.connectReads()
	g.connectLinks()
	g.connectReporter()
	g.connectFinder()
	g.connectLimits()
	g.connectDepartures()
	g.connectPoison()
	g.useFeatures(defaultFeatures)
	g.stop = newStopState(settings.StopTimeout)
	g.metrics.registerGauges(g)
	return g, nil
}

// newIncarnation returns a random id for this run of the process, in hex.
func newIncarnation() (string, error) {
	var data [incarnationBytes]byte
	if _, err := rand.Read(data[:]); err != nil {
		return "", errors.Wrap(err, "generate incarnation")
	}
	return hex.EncodeToString(data[:]), nil
}

func peerAddress(s *platform.Settings) string {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.PeerPorts[0]))
}

// leader returns the leader. remote is false if it is this host, or if no leader is
// known.
func (g *Gateway) leader() (leader hostlink.Leader, remote bool) {
	a := g.catalog.Assignment()
	if a == nil {
		return hostlink.Leader{}, false
	}
	return hostlink.Leader{Address: a.Address, Incarnation: a.LeaderIncarnation, Epoch: a.Epoch}, a.LeaderIncarnation != g.incarnation
}

// feed subscribes another host to the updates that this host reads from the
// store. While this host is the leader, watermarks returns the watermarks up to which
// the other host need not read the store itself; otherwise it returns nil.
func (g *Gateway) feed() (updates <-chan metastore.Update, cancel func(), watermarks func() []metastore.Watermark) {
	updates, cancel = g.catalog.Subscribe()
	return updates, cancel, func() []metastore.Watermark {
		if !g.coordinator.Leading() {
			return nil
		}
		return g.catalog.Watermarks()
	}
}

// predecessorEnded reports whether an earlier leader can send no more grants. Either
// another process now runs at its address, or it follows the leader of the given epoch,
// and targets can apply none of its grants late but those that it names. If it does not know of that
// leader, it is sent the record that names it: it may be cut off from the store.
func (g *Gateway) predecessorEnded(ctx context.Context, process owner.LeaderProcess, epoch int64) (coordinator.ProcessEnd, bool) {
	if process.Address == peerAddress(g.settings) {
		return coordinator.ProcessEnd{At: g.started}, true
	}
	link, err := hostlink.Dial(ctx, process.Address, g.clock)
	if err != nil {
		klog.V(1).InfoS("Failed to dial the host of an earlier leader", "address", process.Address, "err", err)
		return coordinator.ProcessEnd{}, false
	}
	defer link.Close()
	if link.Incarnation() != process.Incarnation {
		return coordinator.ProcessEnd{At: g.clock.Now().Add(-link.Age())}, true
	}
	if link.FollowsEpoch(epoch) {
		return coordinator.ProcessEnd{At: g.clock.Now(), Accounted: true}, true
	}
	if grants, stopped := link.StoppedBefore(epoch); stopped {
		return coordinator.ProcessEnd{At: g.clock.Now(), Unaccounted: grants}, true
	}
	if record, ok := g.catalog.OwnersRecord(); ok {
		if err := link.SendOwners(ctx, record); err != nil {
			klog.InfoS("Failed to inform an earlier leader", "address", process.Address, "err", err)
		}
	}
	return coordinator.ProcessEnd{}, false
}

// leadership returns the epoch of the latest leader that this host knows, and whether
// this host may still send grants.
func (g *Gateway) leadership() (epoch int64, leading bool) {
	a := g.catalog.Assignment()
	if a == nil {
		return 0, false
	}
	return a.Epoch, g.coordinator.MayGrant()
}

// listeners are the listeners of a host, by the clients that they serve.
type listeners struct {
	callers, ready, peers, operators net.Listener
}

func (g *Gateway) listen() (*listeners, error) {
	s := &listeners{}
	for _, item := range []struct {
		into    *net.Listener
		address string
		purpose string
	}{
		{&s.callers, g.settings.CallerAddress, "callers"}, {&s.ready, g.settings.ReadyAddress, "the load balancer"},
		{&s.peers, peerAddress(g.settings), "other hosts"}, {&s.operators, g.operatorAddress, "operators"},
	} {
		l, err := socket.Listen(item.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s", item.purpose)
		}
		*item.into = l
	}
	return s, nil
}

// Run serves until ctx is done, then shuts down gracefully within the configured
// stop timeout. A value on reload makes it read the settings file again.
func (g *Gateway) Run(ctx context.Context, reload <-chan struct{}) error {
	open, err := g.listen()
	if err != nil {
		return err
	}
	klog.InfoS("Host starts", "host", g.settings.Name, "domain", g.settings.Domain, "process", g.incarnation,
		"callers", g.settings.CallerAddress, "operators", open.operators.Addr(), "store", g.settings.StoreAddress)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.start(work, reload)
	callerListener := g.newCallerListener(open.callers)
	go callerListener.CloseExpired(work)
	g.callerServer.Handler = callerListener.CloseWhen(g.stop.stopping, callerListener.BeginEarly(g.proxy.Handler(), g.proxy.Idempotent))
	failed := make(chan error, 4)
	for server, socket := range map[*http.Server]net.Listener{
		g.callerServer: callerListener, g.readyServer: open.ready, g.peerServer: open.peers, g.operatorServer: open.operators,
	} {
		go func() { failed <- server.Serve(socket) }()
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return errors.Wrap(err, "serve")
	}
	g.shutDown(callerListener)
	cancel()
	for _, server := range []*http.Server{g.peerServer, g.operatorServer} {
		if err := server.Close(); err != nil {
			klog.ErrorS(err, "Failed to close a server")
		}
	}
	<-g.catalog.Done()
	<-g.coordinator.Done()
	<-g.reporter.Done()
	<-g.finder.Done()
	<-g.proxy.Done()
	klog.InfoS("Host has stopped", "host", g.settings.Name)
	return nil
}

// newCallerListener returns the listener for callers.
func (g *Gateway) newCallerListener(l net.Listener) *listener.Listener {
	callers := listener.New(l)
	callers.IdleTimeout, callers.MayBreakOff = g.idleTimeout, g.proxy.MayBreakOff
	sockets := g.settings.Sockets
	if sockets <= 0 {
		sockets = socket.MaxOpen()
	}
	callers.MaxConns = int(callerSocketShare * float64(sockets))
	callers.Attach(g.callerServer)
	g.metrics.registerConnections(callers)
	klog.InfoS("Callers' connections are limited", "most", callers.MaxConns, "sockets", sockets)
	return callers
}

// idleTimeout returns the time after which a caller's idle connection is closed.
func (g *Gateway) idleTimeout() time.Duration {
	if table := g.catalog.Table(); table != nil && table.Config().Limits.IdleTimeout > 0 {
		return table.Config().Limits.IdleTimeout
	}
	return listener.DefaultIdleTimeout
}

// start runs the components of the host in the background until ctx is done, and
// creates its HTTP servers.
func (g *Gateway) start(ctx context.Context, reload <-chan struct{}) {
	go g.catalog.Run(ctx, g.store)
	go g.coordinator.Run(ctx)
	go g.reporter.Run(ctx)
	go g.finder.Run(ctx)
	go g.proxy.Run(ctx)
	go g.watchSettings(ctx, reload)
	go g.pruneConnections(ctx)
	go g.logDroppedLines(ctx.Done())
	g.callerServer = &http.Server{
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	g.readyServer = &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: headerTimeout}
	g.peerServer = &http.Server{Handler: g.peerHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	g.operatorServer = &http.Server{Handler: g.operatorHandler(), ReadHeaderTimeout: headerTimeout}
}

// peerHandler serves the links of other hosts, the requests that they relay, their probes, and requests for
// attempts that this host has kept back.
func (g *Gateway) peerHandler() http.Handler {
	links, relayed := g.links.Handler(), g.stop.closeConnections(g.proxy.RelayHandler())
	reserve, probes := g.proxy.ReserveHandler(), g.proxy.ProbeHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case proxy.IsRelayed(r):
			relayed.ServeHTTP(w, r)
		case r.URL.Path == proxy.ReservePath:
			reserve.ServeHTTP(w, r)
		case r.URL.Path == proxy.ProbePath:
			probes.ServeHTTP(w, r)
		default:
			links.ServeHTTP(w, r)
		}
	})
}

// yields reports whether this host has no path to the targets of a service with keys, and
// another host has one.
func (g *Gateway) yields() bool {
	table := g.catalog.Table()
	if table == nil {
		return false
	}
	for _, service := range g.peers.Self().Detached {
		if !table.Config().Services[service].Keyed {
			continue
		}
		if _, ok := g.peers.Pick(service, nil, g.clock.Now()); ok {
			return true
		}
	}
	return false
}

// readyHandler serves the load balancer's health checks: status 503 until the
// catalog is complete and during a stop.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.catalog.Ready() || g.stop.stopping() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// pruneConnections regularly closes connections to targets that no longer exist.
func (g *Gateway) pruneConnections(ctx context.Context) {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		live := make(map[string]bool)
		for _, e := range g.targets.Entries("") {
			live[e.ID] = true
		}
		g.pool.Prune(live)
	}
}
