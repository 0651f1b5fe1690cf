package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/io/logsink"
	"pineturn/io/standin/keyholder"
	"pineturn/io/standin/platformstore"
	"pineturn/platform"
)

const (
	plainService = "coverdesk"
	orderService = "payouts"
	keyedService = "records"
	siteHost     = "site.example"
	// slowRoute has a long timeout.
	slowRoute = "slow"
)

// rig is a site of stand-ins and hosts on loopback addresses.
type rig struct {
	t     *testing.T
	store *platformstore.Store
	audit *keyholder.Audit
	addr  string

	mu      sync.Mutex
	targets map[string]*target
	hosts   []*host
	asked   int
	// patience is what callers say that they wait.
	patience time.Duration
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
	ended   chan error
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, store: platformstore.New(), audit: &keyholder.Audit{}, targets: make(map[string]*target), patience: 2 * time.Second}
	r.addr = r.serve(r.store.Handler(), "127.0.0.1")
	r.configure(1)
	t.Cleanup(r.close)
	return r
}

// serve runs a server on a free port of an address until the test ends.
func (r *rig) serve(handler http.Handler, ip string) string {
	r.t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		r.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	r.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (r *rig) close() {
	r.mu.Lock()
	hosts := r.hosts
	r.mu.Unlock()
	for _, h := range hosts {
		h.stop()
	}
	for _, h := range hosts {
		select {
		case err := <-h.ended:
			if err != nil {
				r.t.Errorf("host: got error %v at its end, want none", err)
			}
		case <-time.After(10 * time.Second):
			r.t.Error("host: got no end of its stop, want one")
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.targets {
		x.end()
	}
}

// configure publishes a version of the operator's configuration.
func (r *rig) configure(version int) {
	config := platformstore.Config{
		Version: version, HostName: siteHost,
		Routes: []platformstore.Route{
			{Name: "cover", Service: plainService, Idempotent: true, Timeout: time.Second},
			{Name: "payout", Service: orderService, Timeout: time.Second},
			{Name: "records", Service: keyedService, Idempotent: true, Timeout: time.Second},
			{Name: fmt.Sprint("v", version), Service: plainService, Idempotent: true, Timeout: time.Second},
			{Name: slowRoute, Service: plainService, Idempotent: true, Timeout: 20 * time.Second},
		},
		Services: []platformstore.Service{{Name: plainService}, {Name: orderService}, {Name: keyedService, Keyed: true}},
	}
	if err := r.store.Configure(config); err != nil {
		r.t.Fatal(err)
	}
}

// addTarget starts a target and keeps its entry alive.
func (r *rig) addTarget(id, service string) *target {
	r.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	x := &target{id: id, stop: make(chan struct{})}
	x.Target = keyholder.New(keyholder.Options{
		ID: id, Service: service, Address: l.Addr().String(), Domain: "a", Slots: 4, Queue: 8,
		Work: 5 * time.Millisecond, Keyed: service == keyedService,
	}, r.audit)
	x.server = &http.Server{Handler: x.Handler()}
	go func() { _ = x.server.Serve(l) }()
	r.store.PutTarget(id, x.Entry(1, false))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets[id] = x
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

// freeIP hands out loopback addresses, one a host.
var freeIP = func() func() string {
	var mu sync.Mutex
	next := 10
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		next++
		return fmt.Sprintf("127.0.7.%d", next)
	}
}()

func freePort(t *testing.T, ip string) int {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// addHost starts a host and waits until it is ready.
func (r *rig) addHost(name string) *host {
	r.t.Helper()
	ip := freeIP()
	h := &host{
		front: fmt.Sprintf("%s:%d", ip, freePort(r.t, ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(r.t, ip)),
		path: filepath.Join(r.t.TempDir(), "settings.toml"), ended: make(chan error, 1),
	}
	settings := platformstore.Host{
		Name: name, IP: ip, Port: freePort(r.t, ip), Callers: h.front, Ready: h.ready, Store: r.addr, RetryExtra: 160,
	}
	if err := os.WriteFile(h.path, settings.Settings(), 0o600); err != nil {
		r.t.Fatal(err)
	}
	sink := logsink.New(io.Discard)
	r.t.Cleanup(sink.Close)
	gateway, err := New(h.path, sink, 0)
	if err != nil {
		r.t.Fatal(err)
	}
	h.gateway = gateway
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	go func() { h.ended <- gateway.Run(ctx, make(chan struct{})) }()
	r.mu.Lock()
	r.hosts = append(r.hosts, h)
	r.mu.Unlock()
	eventually(r.t, "host "+name+" is ready", 5*time.Second, func() bool { return h.isReady() || h.failed(r.t) })
	return h
}

// failed reports a host that has ended by itself.
func (h *host) failed(t *testing.T) bool {
	select {
	case err := <-h.ended:
		h.ended <- err
		t.Fatalf("host: got end %v, want it to run", err)
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

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, within time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: got no such thing within %v, want it", what, within)
}

// reply is an answer as a caller gets it.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// call sends one request; key is negative for none.
func (r *rig) call(client *http.Client, h *host, method, path string, key int, body string) reply {
	r.mu.Lock()
	r.asked++
	id := fmt.Sprintf("request-%d", r.asked)
	r.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		return reply{id: id, err: err}
	}
	req.Host = siteHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(r.patience.Milliseconds()))
	if key >= 0 {
		req.Header.Set("X-Shard-Key", fmt.Sprint(key))
	}
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return reply{id: id, err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{id: id, status: resp.StatusCode, header: resp.Header, body: string(data), err: err, took: time.Since(began)}
}

// newClient returns a client with connections of its own.
func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

func wantStatus(t *testing.T, got reply, want int) {
	t.Helper()
	if got.err != nil || got.status != want {
		t.Errorf("%s: got status %d, error %v, want status %d", got.id, got.status, got.err, want)
	}
}

// wantOwnAnswer checks that a success is a target's own, whole answer to this
// request.
func wantOwnAnswer(t *testing.T, got reply) {
	t.Helper()
	if got.err != nil || got.status != http.StatusOK {
		return
	}
	if got.header.Get("X-Request-Id") != got.id || !strings.HasSuffix(got.body, " ran "+got.id) {
		t.Errorf("%s: got answer to %q with body %q, want its own", got.id, got.header.Get("X-Request-Id"), got.body)
	}
	if want := "signed." + got.id; got.header.Get("X-Response-Signature") != want {
		t.Errorf("%s: got signature %q, want %q", got.id, got.header.Get("X-Response-Signature"), want)
	}
}

// wantAtMostOnce checks that no request ran twice.
func wantAtMostOnce(t *testing.T, runs []keyholder.Run, path string) {
	t.Helper()
	times := make(map[string]int)
	for _, run := range runs {
		if strings.HasPrefix(run.Path, path) {
			times[run.ID]++
		}
	}
	for id, n := range times {
		if n > 1 {
			t.Errorf("%s: got %d runs, want at most 1", id, n)
		}
	}
}

// wantOneOwner checks that no two targets held a key at the same time, and that
// fencing tokens rose.
func wantOneOwner(t *testing.T, audit *keyholder.Audit) {
	t.Helper()
	if got := audit.Faults(); len(got) > 0 {
		t.Errorf("owners: got %d faults, the first %s, want none", len(got), got[0])
	}
}
