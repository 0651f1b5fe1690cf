package daemon

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
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
	"pineturn/io/socket"
	standinlog "pineturn/io/standin/log"
)

// testTimeout is the maximum time that a test waits for an expected event.
const testTimeout = 60 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within %v", what, testTimeout)
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

// testLog is a stand-in log service on loopback.
type testLog struct {
	service *standinlog.Service
	server  *httptest.Server
	address string
}

func newTestLog(t *testing.T) *testLog {
	t.Helper()
	service := standinlog.New()
	server := httptest.NewServer(service)
	t.Cleanup(func() {
		service.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return &testLog{service: service, server: server, address: strings.TrimPrefix(server.URL, "http://")}
}

func (l *testLog) trim(t *testing.T, stream string, before uint64) {
	t.Helper()
	body := []byte(`{"stream": "` + stream + `", "before": ` + strconv.FormatUint(before, 10) + `}`)
	response, err := http.Post(l.server.URL+"/admin/trim", "application/json", bytes.NewReader(body))
	assertNoError(t, err)
	assertEqual(t, "status of the trim", response.StatusCode, http.StatusOK)
	_ = response.Body.Close()
}

func (l *testLog) next(stream string) uint64 { return l.service.Stats().Streams[stream].Next }

// fixture holds a host with the components of a daemon that access the log.
type fixture struct {
	t         *testing.T
	client    *logservice.Client
	host      *host.Host
	writer    *writer
	reader    *reader
	snapshots *snapshots

	mu     sync.Mutex
	folded []host.FoldedBatch
}

func newFixture(t *testing.T, log *testLog, name string) *fixture {
	t.Helper()
	self := record.Member{Incarnation: record.Incarnation{Host: name, Run: 1}, Address: "127.0.0.1:1", Domain: "pos-a"}
	r := &fixture{t: t, client: logservice.New(log.address), host: host.New(self, host.Options{}, time.Now())}
	m := newMetrics()
	r.writer = newWriter(r.client, self.Incarnation, m)
	r.snapshots = &snapshots{
		host: r.host, log: r.client, now: time.Now, metrics: m, interval: testTimeout, submit: r.writer.Submit,
	}
	r.reader = &reader{
		host: r.host, log: r.client, now: time.Now, metrics: m, onFolded: r.onFolded, restore: r.snapshots.restore,
	}
	t.Cleanup(r.client.CloseIdleConnections)
	return r
}

func (r *fixture) onFolded(list []host.FoldedBatch) {
	r.mu.Lock()
	r.folded = append(r.folded, list...)
	r.mu.Unlock()
	r.writer.OnFolded(list)
}

// records returns the folded records.
func (r *fixture) records() []host.FoldedBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]host.FoldedBatch(nil), r.folded...)
}

// run starts components for the rest of the test.
func (r *fixture) run(parts ...func(ctx context.Context)) {
	for _, run := range parts {
		r.t.Cleanup(startTask(run).Close)
	}
}

func (r *fixture) epoch() (epoch uint64) {
	r.host.ViewState(func(state *fold.State) { epoch = state.Members().Epoch() })
	return epoch
}

func join(name string, expect uint64) record.Op {
	member := record.Member{Incarnation: record.Incarnation{Host: name, Run: 1}}
	return record.Op{Join: &record.Join{Member: member, Expect: expect}}
}

// put returns an operation that creates a file.
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

// freeAddress returns an unused loopback address. Its IP address is none that outgoing
// connections use, nor one of another test process.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	address, err := socket.Unused(fmt.Sprintf("127.%d.251.%d:0", 16+pid%224, 1+pid/224%250))
	assertNoError(t, err)
	return address
}

// validSettings returns settings that Check accepts.
func validSettings(t *testing.T, name, logAddress string) Settings {
	t.Helper()
	return Settings{
		Name: name, Domain: "pos-a", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), AdminAddress: freeAddress(t),
		LogAddress: logAddress, GrantLife: time.Second, Suspicion: time.Second, SnapshotInterval: time.Minute,
		StopTimeout: 5 * time.Second, MaxHeaderBytes: DefaultMaxHeaderBytes, Security: security.Settings{Insecure: true},
	}
}
