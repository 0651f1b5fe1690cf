package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/io/socket"
	"pineturn/io/standin/keyholder"
	"pineturn/io/standin/link"
	"pineturn/io/standin/platformstore"
	"pineturn/platform"
)

// Services and host name of the configuration.
const (
	plainService = "coverdesk"
	onceService  = "payouts"
	keyedService = "records"
	virtualHost  = "site.example"
)

var services = []string{plainService, onceService, keyedService}

// responseFaultRate is the fraction of responses of targets that are lost, and also
// the fraction of those that are followed by an unsolicited response.
const responseFaultRate = "0.005"

// copyRate is the fraction of requests that get an earlier refusal on their connection once more.
const copyRate = "0.3"

// refusalIDRate is the fraction of refusals that bear the id of their request.
const refusalIDRate = "0.5"

const (
	// startTimeout is the maximum time for the start of a host.
	startTimeout = 10 * time.Second
	// stopTimeout is the maximum time for the graceful stop of a host, if its
	// settings do not specify one.
	stopTimeout = 6 * time.Second
	// entryTTL is the time after which the store drops the entry of a silent target.
	entryTTL = 1500 * time.Millisecond
)

// host is a pineturn host under test and its link to the store. callerAddress is its
// address for callers, readyAddress its address for readiness checks. The lock mu
// guards process and incarnation, the number of starts so far.
type host struct {
	number        int
	callerAddress string
	readyAddress  string
	settingsPath  string
	logPath       string
	link          *link.Link
	mu            sync.Mutex
	process       *process
	incarnation   int
}

// currentIncarnation returns the number of starts of the host.
func (h *host) currentIncarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// target is a stand-in target; all its incarnations have the same id. startedMs is
// the start of the current incarnation, in milliseconds since the Unix epoch. The
// lock mu guards the fields below it.
type target struct {
	id        string
	service   string
	address   string
	mu        sync.Mutex
	process   *process
	startedMs int64
	draining  bool
}

// system is the system under test: the store, the hosts and the targets of one run.
// lastTarget is the number of the target that was added last.
type system struct {
	options   Options
	logFolder string
	checker   *Checker
	store     *platformstore.Store
	server    *http.Server
	address   string
	hosts     []*host

	mu         sync.Mutex
	targets    []*target
	version    int
	lastTarget int
}

func newSystem(options Options, logFolder string, checker *Checker) (*system, error) {
	s := &system{options: options, logFolder: logFolder, checker: checker, store: platformstore.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for store")
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	if err := s.publishConfig(); err != nil {
		return s, err
	}
	for i := range options.Targets {
		if err := s.addTarget(services[i%len(services)]); err != nil {
			return s, err
		}
	}
	for i := range options.Hosts {
		if err := s.addHost(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

// close kills all processes of the system.
func (s *system) close() {
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.process != nil {
			h.process.kill()
		}
		h.mu.Unlock()
		h.link.Close()
	}
	for _, t := range s.allTargets() {
		t.mu.Lock()
		t.process.kill()
		t.mu.Unlock()
	}
	_ = s.server.Close()
}

func (s *system) allTargets() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*target(nil), s.targets...)
}

// publishConfig publishes a version of the configuration with one more route.
func (s *system) publishConfig() error {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	const timeout = 2 * time.Second
	config := platformstore.Config{
		Version: version, HostName: virtualHost,
		Routes: []platformstore.Route{
			{Name: "cover", Service: plainService, Idempotent: true, Timeout: timeout},
			{Name: "payout", Service: onceService, Timeout: timeout},
			{Name: "records", Service: keyedService, Idempotent: true, Timeout: timeout},
		},
		Services: []platformstore.Service{{Name: plainService}, {Name: onceService}, {Name: keyedService, Keyed: true}},
	}
	for v := 1; v <= version; v++ {
		config.Routes = append(config.Routes, platformstore.Route{
			Name: versionRoute(v), Service: plainService, Idempotent: true, Timeout: timeout,
		})
	}
	if err := s.store.Configure(config); err != nil {
		return err
	}
	s.checker.ConfigPublished(version, time.Now())
	return nil
}

func versionRoute(version int) string { return fmt.Sprint("v", version) }

func (s *system) latestVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// loopback returns the loopback address that is reserved for program n of the seed.
func (s *system) loopback(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+s.options.Seed%100, n/200, 10+n%200)
}

// freePort returns a port of ip on which no process listens.
func freePort(ip string) (int, error) {
	address, err := socket.Unused(net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	parsed, err := netip.ParseAddrPort(address)
	return int(parsed.Port()), errors.Wrap(err, "parse address")
}

func (s *system) addTarget(service string) error {
	s.mu.Lock()
	s.lastTarget++
	number := s.lastTarget
	s.mu.Unlock()
	ip := s.loopback(100 + number)
	port, err := freePort(ip)
	if err != nil {
		return err
	}
	t := &target{id: fmt.Sprintf("t%03d", number), service: service, address: fmt.Sprintf("%s:%d", ip, port)}
	t.mu.Lock()
	err = s.startTarget(t)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = append(s.targets, t)
	return nil
}

// incarnationID identifies the current incarnation of the target in the audit. The
// caller holds the lock of the target.
func (t *target) incarnationID() string { return fmt.Sprintf("%s@%d", t.id, t.startedMs) }

// startTarget starts an incarnation of a target, which writes its entry once it
// listens. The caller holds the lock of the target.
func (s *system) startTarget(t *target) error {
	if err := s.startIncarnation(t); err != nil {
		return err
	}
	s.store.PutTarget(t.id, t.entry(false))
	return nil
}

// startIncarnation starts an incarnation of a target and waits until it listens. The
// caller holds the lock of the target.
func (s *system) startIncarnation(t *target) error {
	t.startedMs = time.Now().UnixMilli()
	incarnation := t.incarnationID()
	args := []string{"keyholder", "--listen", t.address, "--id", t.id, "--service", t.service, "--limit", targetLimit, "--rest", fmt.Sprint(restTime.Seconds()), "--lost", responseFaultRate, "--extra", responseFaultRate, "--copies", copyRate, "--refusal-ids", refusalIDRate, "--invalid", responseFaultRate}
	if t.service == keyedService {
		args = append(args, "--keyed")
	}
	listening := make(chan struct{})
	var once sync.Once
	p, err := startProcess(filepath.Join(s.logFolder, t.id+".log"), func(line []byte) {
		once.Do(func() { close(listening) })
		s.handleOutput(incarnation, line)
	}, "", filepath.Join(s.options.ProgramFolder, "standin"), args...)
	if err != nil {
		return err
	}
	t.process = p
	select {
	case <-listening:
	case <-p.done:
		return errors.Newf("target %s exited before it listened", t.id)
	}
	return nil
}

// handleOutput decodes a line of the output of a target and passes the event to the
// checker. The event is attributed to the incarnation of the target, since a new
// incarnation does not hold the leases of the previous one.
func (s *system) handleOutput(incarnation string, line []byte) {
	var e keyholder.Event
	if len(line) == 0 || line[0] != '{' {
		return
	}
	if err := json.Unmarshal(line, &e); err != nil {
		klog.ErrorS(err, "Failed to decode event of target", "target", incarnation)
		return
	}
	e.Target = incarnation
	if e.Run != nil {
		e.Run.Target = incarnation
	}
	s.checker.AddEvent(e)
}

// entry returns the entry of the target in the store. The caller holds the lock of
// the target.
func (t *target) entry(draining bool) []byte {
	return keyholder.New(keyholder.Options{
		ID: t.id, Service: t.service, Address: t.address, Domain: domainOf(t.id), Slots: 2, Born: t.startedMs,
	}, nil).Entry(1, draining)
}

func (s *system) addHost(number int) error {
	ip := s.loopback(number)
	var ports [3]int
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return err
		}
		ports[i] = port
	}
	l, err := link.New("127.0.0.1:0", s.address)
	if err != nil {
		return errors.Wrap(err, "open link to store")
	}
	h := &host{
		number: number, callerAddress: fmt.Sprintf("%s:%d", ip, ports[0]), readyAddress: fmt.Sprintf("%s:%d", ip, ports[1]),
		settingsPath: filepath.Join(s.logFolder, fmt.Sprintf("host-%d.toml", number)),
		logPath:      filepath.Join(s.logFolder, fmt.Sprintf("host-%d.log", number)), link: l,
	}
	s.hosts = append(s.hosts, h)
	settings := platformstore.HostSettings{
		Name: fmt.Sprint("host-", number), IP: ip, Port: ports[2], CallerAddress: h.callerAddress, ReadyAddress: h.readyAddress, StoreAddress: l.Address(), RetryBudgetExtra: retryExtra,
	}
	if err := os.WriteFile(h.settingsPath, settings.Encode(), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return s.startHost(h, nil)
}

// startHost starts a host whose process previous has ended, unless another step has
// already restarted the host.
func (s *system) startHost(h *host, previous *process) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != previous {
		return nil
	}
	arguments := append([]string{"platform", "--admin-port", "0"}, s.featureFlags()...)
	p, err := startProcess(h.logPath, nil, platform.SettingsVariable+"="+h.settingsPath, filepath.Join(s.options.ProgramFolder, "pineturnd"), arguments...)
	if err != nil {
		return err
	}
	h.process = p
	h.incarnation++
	return nil
}

// featureFlags returns the flags of hosts: every second seed uses the features that deployments of
// many hosts use.
func (s *system) featureFlags() []string {
	if s.options.Seed%2 == 0 {
		return nil
	}
	return []string{"--owner-queue=on", "--learned-concurrency=on", "--spread-keys=on", "--dispatch=on"}
}

// isReady reports whether the readiness check of a host succeeds.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.readyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
