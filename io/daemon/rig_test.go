package daemon

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/core/fold"
	"pineturn/core/host"
	"pineturn/core/record"
	"pineturn/io/logservice"
	"pineturn/io/security"
	standinlog "pineturn/io/standin/log"
)

// limit is how long a test waits for what must come.
const limit = 60 * time.Second

func within(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func assertNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
}

// logRig is a log service on loopback.
type logRig struct {
	service *standinlog.Service
	server  *httptest.Server
	address string
}

func newLog(t *testing.T) *logRig {
	t.Helper()
	service := standinlog.New()
	server := httptest.NewServer(service)
	t.Cleanup(func() {
		service.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return &logRig{service: service, server: server, address: strings.TrimPrefix(server.URL, "http://")}
}

func (l *logRig) trim(t *testing.T, stream string, before uint64) {
	t.Helper()
	body := []byte(`{"stream": "` + stream + `", "before": ` + strconv.FormatUint(before, 10) + `}`)
	answer, err := http.Post(l.server.URL+"/admin/trim", "application/json", bytes.NewReader(body))
	assertNoError(t, err)
	assertEqual(t, "status of the trim", answer.StatusCode, http.StatusOK)
	_ = answer.Body.Close()
}

func (l *logRig) next(stream string) uint64 { return l.service.Stats().Streams[stream].Next }

// rig is what a daemon puts between a host's decisions and the log.
type rig struct {
	t         *testing.T
	client    *logservice.Client
	host      *host.Host
	writer    *writer
	reader    *reader
	snapshots *snapshots

	mu     sync.Mutex
	folded []host.FoldedBatch
}

func newRig(t *testing.T, log *logRig, name string) *rig {
	t.Helper()
	self := record.Member{Incarnation: record.Incarnation{Host: name, Run: 1}, Address: "127.0.0.1:1", Domain: "pos-a"}
	r := &rig{t: t, client: logservice.New(log.address), host: host.New(self, host.Options{}, time.Now())}
	counts := newMetrics()
	r.writer = newWriter(r.client, self.Incarnation, counts)
	r.snapshots = &snapshots{
		host: r.host, log: r.client, now: time.Now, counts: counts, interval: limit, submit: r.writer.Submit,
	}
	r.reader = &reader{
		host: r.host, log: r.client, now: time.Now, counts: counts, folded: r.take, restore: r.snapshots.restore,
	}
	t.Cleanup(r.client.Close)
	return r
}

func (r *rig) take(list []host.FoldedBatch) {
	r.mu.Lock()
	r.folded = append(r.folded, list...)
	r.mu.Unlock()
	r.writer.Folded(list)
}

// records lists what was folded.
func (r *rig) records() []host.FoldedBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]host.FoldedBatch(nil), r.folded...)
}

// run starts parts for the rest of the test.
func (r *rig) run(parts ...func(ctx context.Context)) {
	for _, run := range parts {
		r.t.Cleanup(start(run).Close)
	}
}

func (r *rig) epoch() (epoch uint64) {
	r.host.ViewState(func(state *fold.State) { epoch = state.Members().Epoch() })
	return epoch
}

func join(name string, expect uint64) record.Op {
	member := record.Member{Incarnation: record.Incarnation{Host: name, Run: 1}}
	return record.Op{Join: &record.Join{Member: member, Expect: expect}}
}

// put makes a file that does not exist yet.
func put(name, content string) record.Op {
	return record.Op{Files: &record.Files{Changes: []record.FileChange{{Name: name, Content: []byte(content)}}}}
}

func encode(t *testing.T, batch record.Batch) []byte {
	t.Helper()
	batch.Version = record.Version
	data, err := record.Encode(batch)
	assertNoError(t, err)
	return data
}

// freeAddress is a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assertNoError(t, err)
	defer func() { _ = socket.Close() }()
	return socket.Addr().String()
}

// goodSettings are settings that Check finds no fault with.
func goodSettings(t *testing.T, name, logAddress string) Settings {
	t.Helper()
	return Settings{
		Name: name, Domain: "pos-a", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), AdminAddress: freeAddress(t),
		LogAddress: logAddress, GrantLife: time.Second, Suspicion: time.Second, SnapshotInterval: time.Minute,
		StopTimeout: 5 * time.Second, MaxHeaderBytes: DefaultMaxHeaderBytes, Security: security.Settings{Insecure: true},
	}
}
