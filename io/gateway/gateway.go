// Package gateway runs one host on the users' platform: it takes callers'
// requests, follows the platform's store, and may lead the other hosts.
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
	"pineturn/core/owner"
	"pineturn/core/placement"
	"pineturn/io/coordinator"
	"pineturn/io/hostlink"
	"pineturn/io/listener"
	"pineturn/io/logsink"
	"pineturn/io/metastore"
	"pineturn/io/proxy"
	"pineturn/platform"
)

const (
	// gcPercent is the growth of the heap between collections.
	gcPercent = 40
	// headerTimeout bounds the time that a header may take.
	headerTimeout = 15 * time.Second
	// callerIdleTimeout is longer than any that the operator sets, as callers
	// use connections for up to that time.
	callerIdleTimeout = 120 * time.Second
	// settingsInterval is the time between looks at the settings file.
	settingsInterval = time.Second
	// sweepInterval is the time between looks for connections to targets that
	// are gone.
	sweepInterval = 2 * time.Second
	// processBytes is the length of an incarnation.
	processBytes = 8
	// maxHeaderBytes bounds a caller's header.
	maxHeaderBytes = 64 << 10
)

// Gateway is a host's process.
type Gateway struct {
	path        string
	settings    *platform.Settings
	clock       clock.Clock
	store       *platform.Store
	targets     *placement.Set
	catalog     *metastore.Catalog
	coordinator *coordinator.Coordinator
	pool        *proxy.Pool
	entry       *proxy.Proxy
	metrics     *metrics
	process     string
	started     time.Time
	// front serves callers, ready the balancer, linked other hosts.
	front     *http.Server
	ready     *http.Server
	linked    *http.Server
	operators *http.Server
	links     *hostlink.Server
	reporter  *hostlink.Reporter
	stop      *stopper
	logs      *logsink.Sink
	admins    string
}

// New returns a host's process with the settings at a path. Metrics and dumps
// are served at a port of its address; zero stands for any free one.
func New(path string, logs *logsink.Sink, adminPort int) (*Gateway, error) {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	process, err := newProcess()
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(settings.Memory / 2)
	g := &Gateway{path: path, settings: settings, clock: clock.Boot{}, process: process, metrics: newMetrics(), logs: logs}
	g.admins = net.JoinHostPort(settings.Address, strconv.Itoa(adminPort))
	g.started = g.clock.Now()
	g.store = platform.NewStore(settings.StoreAddress)
	g.store.Observe = g.metrics.storeCall
	g.targets = placement.NewSet(settings.Domain)
	g.catalog = metastore.NewCatalog(g.clock, g.targets)
	g.pool = proxy.NewPool()
	b := budget.New(settings.RetryRatio, settings.RetryExtra, settings.RetryWindow)
	g.entry = proxy.New(g.catalog, g.targets, b, g.pool, g.clock)
	g.entry.HandleTrace = g.ended
	self := coordinator.Host{Name: settings.Name, Process: process, Address: peerAddress(settings), Cores: settings.Cores}
	g.coordinator = coordinator.New(self, settings.MaxLease, g.store, g.catalog, g.targets, g.clock)
	g.coordinator.PredecessorEnded = g.predecessorEnded
	g.catalog.SetReadTimes(g.readWait, g.gatherTime)
	g.links = hostlink.NewServer(process, g.clock)
	g.links.HandleReport = g.coordinator.Add
	g.links.Subscribe = g.feed
	g.reporter = hostlink.NewReporter()
	g.reporter.Leader = g.leader
	g.reporter.Report = g.entry.Report
	g.reporter.Leading = g.coordinator.Leading
	g.reporter.HandleReport = func(report owner.Report) {
		b.SetHosts(g.links.Hosts())
		g.coordinator.Add(report)
	}
	g.reporter.HandleFeed = func(news hostlink.Feed) {
		b.SetHosts(news.Hosts)
		g.catalog.ApplyRelayed(news.Updates, news.Watermarks)
	}
	g.stop = newStopper(settings.StopTimeout)
	g.metrics.observe(g)
	return g, nil
}

// newProcess returns the incarnation of this process.
func newProcess() (string, error) {
	var data [processBytes]byte
	if _, err := rand.Read(data[:]); err != nil {
		return "", errors.Wrap(err, "draw an incarnation")
	}
	return hex.EncodeToString(data[:]), nil
}

func peerAddress(s *platform.Settings) string {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.PeerPorts[0]))
}

// leader returns where the host that leads is reached.
func (g *Gateway) leader() (address, process string, ok bool) {
	a := g.catalog.Assignment()
	if a == nil || a.Process == g.process {
		return "", "", false
	}
	return a.Address, a.Process, true
}

// feed returns what another host need not read itself, while this host leads.
func (g *Gateway) feed() (updates <-chan metastore.Update, cancel func(), marks func() []metastore.Watermark) {
	updates, cancel = g.catalog.Subscribe()
	return updates, cancel, func() []metastore.Watermark {
		if !g.coordinator.Leading() {
			return nil
		}
		return g.catalog.Watermarks()
	}
}

// predecessorEnded asks the host at an address whether another process runs
// there now, and returns when that one has started at the latest.
func (g *Gateway) predecessorEnded(ctx context.Context, address, process string) (time.Time, bool) {
	if address == peerAddress(g.settings) {
		return g.started, true
	}
	link, err := hostlink.Dial(ctx, address)
	if err != nil {
		return time.Time{}, false
	}
	defer link.Close()
	if link.Process() == process {
		return time.Time{}, false
	}
	return g.clock.Now().Add(-link.Age()), true
}

const (
	// leaderWait is how long the leader's reads wait: each proves again that it
	// leads, and that the other hosts need not read themselves.
	leaderWait = 500 * time.Millisecond
	hostWait   = 1500 * time.Millisecond
	// leaderGather and hostGather are the times in which changes of targets
	// gather between two reads.
	leaderGather = 100 * time.Millisecond
	hostGather   = 400 * time.Millisecond
)

func (g *Gateway) gatherTime() time.Duration {
	if g.coordinator.Leading() {
		return leaderGather
	}
	return hostGather
}

func (g *Gateway) readWait() time.Duration {
	if g.coordinator.Leading() {
		return leaderWait
	}
	return hostWait
}

// sockets are what a host listens at.
type sockets struct {
	callers, balancer, hosts, operators net.Listener
}

func (g *Gateway) listen() (*sockets, error) {
	s := &sockets{}
	for _, socket := range []struct {
		into    *net.Listener
		address string
		who     string
	}{
		{&s.callers, g.settings.CallerAddress, "callers"}, {&s.balancer, g.settings.ReadyAddress, "the balancer"},
		{&s.hosts, peerAddress(g.settings), "hosts"}, {&s.operators, g.admins, "operators"},
	} {
		l, err := net.Listen("tcp", socket.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s", socket.who)
		}
		*socket.into = l
	}
	return s, nil
}

// Run serves until the context ends, then stops without cutting a request off.
func (g *Gateway) Run(ctx context.Context, reload <-chan struct{}) error {
	open, err := g.listen()
	if err != nil {
		return err
	}
	klog.InfoS("Host starts", "host", g.settings.Name, "domain", g.settings.Domain, "process", g.process,
		"callers", g.settings.CallerAddress, "operators", open.operators.Addr(), "store", g.settings.StoreAddress)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.start(work, reload)
	front := listener.New(open.callers)
	front.Attach(g.front)
	failed := make(chan error, 4)
	for server, socket := range map[*http.Server]net.Listener{
		g.front: front, g.ready: open.balancer, g.linked: open.hosts, g.operators: open.operators,
	} {
		go func() { failed <- server.Serve(socket) }()
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return errors.Wrap(err, "serve")
	}
	g.shutDown(front)
	cancel()
	for _, server := range []*http.Server{g.linked, g.operators} {
		if err := server.Close(); err != nil {
			klog.ErrorS(err, "Closing a server")
		}
	}
	<-g.catalog.Done()
	<-g.coordinator.Done()
	<-g.reporter.Done()
	klog.InfoS("Host has stopped", "host", g.settings.Name)
	return nil
}

// start runs the parts of a host and makes its servers.
func (g *Gateway) start(ctx context.Context, reload <-chan struct{}) {
	go g.catalog.Run(ctx, g.store)
	go g.coordinator.Run(ctx)
	go g.reporter.Run(ctx)
	go g.watchSettings(ctx, reload)
	go g.sweep(ctx)
	go g.countLines(ctx.Done())
	g.front = &http.Server{
		Handler: g.stop.closing(g.entry.Handler()), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	g.ready = &http.Server{Handler: g.readiness(), ReadHeaderTimeout: headerTimeout}
	g.linked = &http.Server{Handler: g.links.Handler(), ReadHeaderTimeout: headerTimeout}
	g.operators = &http.Server{Handler: g.admin(), ReadHeaderTimeout: headerTimeout}
}

func (g *Gateway) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.catalog.Ready() || g.stop.stopping() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// sweep drops connections to targets that are gone.
func (g *Gateway) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		named := make(map[string]bool)
		for _, e := range g.targets.Entries("") {
			named[e.ID] = true
		}
		g.pool.Prune(named)
	}
}
