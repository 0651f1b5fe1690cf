package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/io/logsink"
	"pineturn/io/socket"
	"pineturn/io/standin/keyholder"
	"pineturn/io/standin/platformstore"
	"pineturn/platform"
)

const (
	plainService = "coverdesk"
	orderService = "payouts"
	keyedService = "records"
	routeHost    = "site.example"
	// slowRoute, slowRecordsRoute and slowPayoutRoute are the names of routes with a timeout of 20 s.
	slowRoute        = "slow"
	slowRecordsRoute = "slow-records"
	slowPayoutRoute  = "slow-payout"
)

// testCluster runs hosts, targets and a stand-in for the store on loopback
// addresses.
type testCluster struct {
	t     *testing.T
	store *platformstore.Store
	audit *keyholder.Audit

	mu           sync.Mutex
	targets      map[string]*target
	hosts        []*host
	requestCount int
	// callerTimeout is the timeout that callers state in their requests.
	callerTimeout time.Duration
	// slots is the number of requests that a target runs at once.
	slots int
	// ends holds the ends of targets by requests whose paths contain poisonPath.
	ends []poisonSend
	// nextReadRefused holds the IP addresses of hosts whose next read the store refuses.
	nextReadRefused map[string]bool
	// mended is set once no request ends targets any more.
	mended atomic.Bool
	// version is the version of the software of targets that start.
	version string
	// coldTime and coldRate are what the configuration states of cold targets, coldLeft is
	// how long those that start are cold.
	coldTime, coldLeft time.Duration
	coldRate           float64
}

type target struct {
	*keyholder.Target
	server *http.Server
	stop   chan struct{}
	id     string
}

type host struct {
	gateway *Gateway
	front   string
	ready   string
	path    string
	stop    context.CancelFunc
	done    chan error
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	c := &testCluster{t: t, store: platformstore.New(), audit: &keyholder.Audit{}, targets: make(map[string]*target), nextReadRefused: make(map[string]bool), callerTimeout: 2 * time.Second, slots: 4}
	c.configure(1)
	t.Cleanup(c.close)
	return c
}

// serve runs an HTTP server on a free port of ip until the test ends, and returns
// its address.
func (c *testCluster) serve(handler http.Handler, ip string) string {
	c.t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	c.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (c *testCluster) close() {
	c.mu.Lock()
	hosts := c.hosts
	c.mu.Unlock()
	for _, h := range hosts {
		h.stop()
	}
	for _, h := range hosts {
		select {
		case err := <-h.done:
			if err != nil {
				c.t.Errorf("host: got error %v from Run, want none", err)
			}
		case <-time.After(10 * time.Second):
			c.t.Error("host: still running 10 s after its stop, want it ended")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.targets {
		x.end()
	}
}

// configure publishes a version of the operator's configuration.
func (c *testCluster) configure(version int) {
	config := platformstore.Config{
		Version: version, HostName: routeHost,
		Routes: []platformstore.Route{
			{Name: "cover", Service: plainService, Idempotent: true, Timeout: time.Second},
			{Name: "payout", Service: orderService, Timeout: time.Second},
			{Name: "records", Service: keyedService, Idempotent: true, Timeout: time.Second},
			{Name: fmt.Sprint("v", version), Service: plainService, Idempotent: true, Timeout: time.Second},
			{Name: slowRoute, Service: plainService, Idempotent: true, Timeout: 20 * time.Second},
			{Name: slowRecordsRoute, Service: keyedService, Idempotent: true, Timeout: 20 * time.Second},
			{Name: slowPayoutRoute, Service: orderService, Timeout: 20 * time.Second},
		},
		Services: []platformstore.Service{
			{Name: plainService, ColdTime: c.coldTime, ColdRate: c.coldRate}, {Name: orderService, ColdTime: c.coldTime, ColdRate: c.coldRate},
			{Name: keyedService, Keyed: true, ColdTime: c.coldTime, ColdRate: c.coldRate},
		},
	}
	if err := c.store.Configure(config); err != nil {
		c.t.Fatal(err)
	}
}

// addTarget starts a target and writes its entry to the store.
func (c *testCluster) addTarget(id, service string) *target {
	c.t.Helper()
	return c.addTargetIn("a", id, service)
}

// addTargetIn starts a target in a failure domain and writes its entry to the store.
func (c *testCluster) addTargetIn(domain, id, service string) *target {
	c.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	x := &target{id: id, stop: make(chan struct{})}
	x.Target = keyholder.New(keyholder.Options{
		ID: id, Service: service, Address: l.Addr().String(), Domain: domain, Slots: c.slots, Queue: 8,
		ServiceTime: 5 * time.Millisecond, Keyed: service == keyedService, Version: c.version,
		ColdRate: int(c.coldRate*1.5 + 8),
	}, c.audit)
	x.SetCold(c.coldLeft)
	x.server = &http.Server{Handler: c.endOnPoison(x)}
	go func() { _ = x.server.Serve(l) }()
	c.store.PutTarget(id, x.Entry(1, false))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[id] = x
	return x
}

func (x *target) end() {
	select {
	case <-x.stop:
	default:
		close(x.stop)
		_ = x.server.Close()
	}
}

// nextIP returns a new loopback address for each host.
var nextIP = func() func() string {
	var mu sync.Mutex
	next := 10
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		next++
		return fmt.Sprintf("127.0.7.%d", next)
	}
}()

// freePort returns a port of ip on which no process listens.
func freePort(t *testing.T, ip string) int {
	t.Helper()
	address, err := socket.Unused(ip + ":0")
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return int(parsed.Port())
}

// addHost starts a host and waits until it is ready.
func (c *testCluster) addHost(name string) *host {
	c.t.Helper()
	return c.addHostIn("a", name, func(*Gateway) {})
}

// addHostIn starts a host in a failure domain and waits until it is ready. It calls
// prepare before the host runs.
func (c *testCluster) addHostIn(domain, name string, prepare func(*Gateway)) *host {
	c.t.Helper()
	ip := nextIP()
	h := &host{
		front: fmt.Sprintf("%s:%d", ip, freePort(c.t, ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(c.t, ip)),
		path: filepath.Join(c.t.TempDir(), "settings.toml"), done: make(chan error, 1),
	}
	settings := platformstore.HostSettings{
		Name: name, Domain: domain, IP: ip, Port: freePort(c.t, ip), CallerAddress: h.front, ReadyAddress: h.ready, StoreAddress: c.serve(c.storeHandler(ip), ip), RetryBudgetExtra: 160,
		ColdOverage: 1.5, ColdSlack: 8,
	}
	if err := os.WriteFile(h.path, settings.Encode(), 0o600); err != nil {
		c.t.Fatal(err)
	}
	sink := logsink.New(io.Discard)
	c.t.Cleanup(sink.Close)
	gateway, err := New(h.path, sink, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	h.gateway = gateway
	prepare(gateway)
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	go func() { h.done <- gateway.Run(ctx, make(chan struct{})) }()
	c.mu.Lock()
	c.hosts = append(c.hosts, h)
	c.mu.Unlock()
	eventually(c.t, "host "+name+" is ready", 5*time.Second, func() bool { return h.isReady() || h.exited(c.t) })
	return h
}

// storeHandler returns a handler of the store for the host with the given IP address alone. All
// hosts of a test connect from the same address.
func (c *testCluster) storeHandler(ip string) http.Handler {
	handler := c.store.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.RemoteAddr = net.JoinHostPort(ip, "0")
		if c.refusesNextRead(ip, r) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// refusesNextRead reports whether a request is the next read of a host, which is refused.
func (c *testCluster) refusesNextRead(ip string, r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.URL.Path != "/v1/log-read" || !c.nextReadRefused[ip] {
		return false
	}
	delete(c.nextReadRefused, ip)
	return true
}

// exited fails the test if the host has ended by itself; otherwise it returns
// false.
func (h *host) exited(t *testing.T) bool {
	select {
	case err := <-h.done:
		h.done <- err
		t.Fatalf("host: ended with error %v, want it running", err)
	default:
	}
	return false
}

func (h *host) isReady() bool {
	resp, err := http.Get("http://" + h.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually polls until met returns true, and fails the test if that takes
// longer than within.
func eventually(t *testing.T, condition string, within time.Duration, met func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatalf("%s: not met within %v, want it met", condition, within)
}

// response is the result of a call as seen by the caller.
type response struct {
	id      string
	status  int
	header  http.Header
	body    string
	err     error
	latency time.Duration
}

// call sends one request to a host. A negative key means no key.
func (c *testCluster) call(client *http.Client, h *host, method, path string, key int, body string) response {
	c.mu.Lock()
	c.requestCount++
	id := fmt.Sprintf("request-%d", c.requestCount)
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		return response{id: id, err: err}
	}
	req.Host = routeHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(c.callerTimeout.Milliseconds()))
	if key >= 0 {
		req.Header.Set("X-Shard-Key", fmt.Sprint(key))
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return response{id: id, err: err, latency: time.Since(start)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{id: id, status: resp.StatusCode, header: resp.Header, body: string(data), err: err, latency: time.Since(start)}
}

// newClient returns a client that does not share connections with others.
func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

func wantStatus(t *testing.T, got response, want int) {
	t.Helper()
	if got.err != nil || got.status != want {
		t.Errorf("%s: got status %d, error %v, want status %d", got.id, got.status, got.err, want)
	}
}

// wantOwnResponse checks that a successful response is the complete response of a
// target to this request.
func wantOwnResponse(t *testing.T, got response) {
	t.Helper()
	if got.err != nil || got.status != http.StatusOK {
		return
	}
	if got.header.Get("X-Request-Id") != got.id || !strings.HasSuffix(got.body, " ran "+got.id) {
		t.Errorf("%s: got response to %q with body %q, want its own", got.id, got.header.Get("X-Request-Id"), got.body)
	}
	if want := "signed." + got.id; got.header.Get("X-Response-Signature") != want {
		t.Errorf("%s: got signature %q, want %q", got.id, got.header.Get("X-Response-Signature"), want)
	}
}

// wantPayoutsAtMostOnce checks that no payout ran more than once.
func wantPayoutsAtMostOnce(t *testing.T, runs []keyholder.Run) {
	t.Helper()
	runCount := make(map[string]int)
	for _, run := range runs {
		if strings.HasPrefix(run.Path, "/payout/") {
			runCount[run.ID]++
		}
	}
	for id, n := range runCount {
		if n > 1 {
			t.Errorf("%s: got %d runs, want at most 1", id, n)
		}
	}
}

// wantOneOwner checks that no two targets held a key at the same time, and that
// fencing tokens only increased.
func wantOneOwner(t *testing.T, audit *keyholder.Audit) {
	t.Helper()
	if got := audit.Violations(); len(got) > 0 {
		t.Errorf("owners: got %d faults, the first %s, want none", len(got), got[0])
	}
}
