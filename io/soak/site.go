package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/io/standin/keyholder"
	"pineturn/io/standin/link"
	"pineturn/io/standin/platformstore"
	"pineturn/platform"
)

// Services of the site.
const (
	plainService = "coverdesk"
	onceService  = "payouts"
	keyedService = "records"
	siteHost     = "site.example"
)

// spoiled is the part of targets' answers that are lost, and of those that are
// followed by one that nobody asked for.
const spoiled = "0.005"

const (
	// startWithin bounds the start of a program, graceTime the stop of a host where the
	// settings don't say.
	startWithin = 10 * time.Second
	graceTime   = 6 * time.Second
	// lapseTime is the silence after which the store drops a target's entry.
	lapseTime = 1500 * time.Millisecond
)

// host is one host, with the link that it reaches the store by.
type host struct {
	number  int
	front   string
	ready   string
	path    string
	log     string
	link    *link.Link
	mu      sync.Mutex
	process *process
	life    int
}

// state returns the number of the host's starts.
func (h *host) state() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

// target is one target under its id.
type target struct {
	id      string
	service string
	address string
	mu      sync.Mutex
	process *process
	born    int64
	leaving bool
}

// site is the store, the hosts and the targets of one run.
type site struct {
	options Options
	folder  string
	judge   *Judge
	store   *platformstore.Store
	server  *http.Server
	address string
	hosts   []*host

	mu      sync.Mutex
	targets []*target
	version int
	made    int
}

func newSite(options Options, folder string, judge *Judge) (*site, error) {
	s := &site{options: options, folder: folder, judge: judge, store: platformstore.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	if err := s.configure(); err != nil {
		return s, err
	}
	services := []string{plainService, onceService, keyedService}
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

// close ends all processes that the site has started.
func (s *site) close() {
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.process != nil {
			h.process.kill()
		}
		h.mu.Unlock()
		h.link.Close()
	}
	for _, t := range s.all() {
		t.mu.Lock()
		t.process.kill()
		t.mu.Unlock()
	}
	_ = s.server.Close()
}

func (s *site) all() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*target(nil), s.targets...)
}

// configure publishes a version with one more route.
func (s *site) configure() error {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	const timeout = 2 * time.Second
	config := platformstore.Config{
		Version: version, HostName: siteHost,
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
	s.judge.Acked(version, time.Now())
	return nil
}

func versionRoute(version int) string { return fmt.Sprint("v", version) }

func (s *site) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// loopback returns an address of its own for the n-th program of a seed.
func (s *site) loopback(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+s.options.Seed%100, n/200, 10+n%200)
}

// freePort returns a port that no one listens on.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, errors.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (s *site) addTarget(service string) error {
	s.mu.Lock()
	s.made++
	number := s.made
	s.mu.Unlock()
	ip := s.loopback(100 + number)
	port, err := freePort(ip)
	if err != nil {
		return err
	}
	t := &target{id: fmt.Sprintf("t%03d", number), service: service, address: fmt.Sprintf("%s:%d", ip, port)}
	t.mu.Lock()
	err = s.begin(t)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = append(s.targets, t)
	return nil
}

// lifeName names the target's present life in the audit. Its lock is held.
func (t *target) lifeName() string { return fmt.Sprintf("%s@%d", t.id, t.born) }

// begin starts a life of a target. Its lock is held.
func (s *site) begin(t *target) error {
	t.born = time.Now().UnixMilli()
	life := t.lifeName()
	args := []string{"keyholder", "--listen", t.address, "--id", t.id, "--service", t.service, "--lost", spoiled, "--extra", spoiled}
	if t.service == keyedService {
		args = append(args, "--keyed")
	}
	listening := make(chan struct{})
	var once sync.Once
	p, err := launch(filepath.Join(s.folder, t.id+".log"), func(line []byte) {
		once.Do(func() { close(listening) })
		s.tell(life, line)
	}, "", filepath.Join(s.options.Programs, "standin"), args...)
	if err != nil {
		return err
	}
	t.process = p
	select {
	case <-listening:
	case <-p.done:
		return errors.Newf("target %s ended at its start", t.id)
	}
	s.store.PutTarget(t.id, t.entry(false))
	return nil
}

// tell passes a line of a target's output on. A life of a target has leases of
// its own.
func (s *site) tell(life string, line []byte) {
	var e keyholder.Event
	if len(line) == 0 || line[0] != '{' {
		return
	}
	if err := json.Unmarshal(line, &e); err != nil {
		klog.ErrorS(err, "Event of a target can't be decoded", "target", life)
		return
	}
	e.Target = life
	if e.Run != nil {
		e.Run.Target = life
	}
	s.judge.Event(e)
}

// entry is what the target says of itself. Its lock is held.
func (t *target) entry(leaving bool) []byte {
	return keyholder.New(keyholder.Options{
		ID: t.id, Service: t.service, Address: t.address, Domain: "a", Slots: 2, Born: t.born,
	}, nil).Entry(1, leaving)
}

func (s *site) addHost(number int) error {
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
		return errors.Wrap(err, "open link to the store")
	}
	h := &host{
		number: number, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		path: filepath.Join(s.folder, fmt.Sprintf("host-%d.toml", number)),
		log:  filepath.Join(s.folder, fmt.Sprintf("host-%d.log", number)), link: l,
	}
	s.hosts = append(s.hosts, h)
	settings := platformstore.HostSettings{
		Name: fmt.Sprint("host-", number), IP: ip, Port: ports[2], CallerAddress: h.front, ReadyAddress: h.ready, StoreAddress: l.Address(), RetryBudgetExtra: 50,
	}
	if err := os.WriteFile(h.path, settings.Encode(), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return s.startHost(h, nil)
}

// startHost starts a host after its process before has ended, unless it runs
// again already.
func (s *site) startHost(h *host, before *process) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != before {
		return nil
	}
	p, err := launch(h.log, nil, platform.SettingsVariable+"="+h.path, filepath.Join(s.options.Programs, "pineturnd"), "platform", "--admin-port", "0")
	if err != nil {
		return err
	}
	h.process = p
	h.life++
	return nil
}

// isReady reports whether a host says that it is ready.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
