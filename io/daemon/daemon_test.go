package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pineturn/core/admission"
	"pineturn/core/clock"
	"pineturn/core/fold"
	"pineturn/core/host"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/io/hostlist"
	standinhosts "pineturn/io/standin/hostlist"
	standinlog "pineturn/io/standin/log"
)

func newDaemon(t *testing.T, settings Settings) *Daemon {
	t.Helper()
	if errs := settings.Check(); len(errs) > 0 {
		t.Fatalf("settings: got %v, want no error", errs)
	}
	d, err := New(settings, clock.System{})
	assertNoError(t, err)
	return d
}

func startDaemon(t *testing.T, settings Settings) *Daemon {
	t.Helper()
	d := newDaemon(t, settings)
	assertNoError(t, d.Start())
	t.Cleanup(func() { _ = d.Stop() })
	return d
}

// serveHostList serves a host list with the given hosts on loopback and sets it in
// their settings.
func serveHostList(t *testing.T, list ...*Settings) {
	t.Helper()
	var hosts []standinhosts.Host
	for _, entry := range list {
		hosts = append(hosts, standinhosts.Host{Name: entry.Name, Address: entry.PeerAddress, Domain: entry.Domain, State: "live"})
	}
	server := httptest.NewServer(standinhosts.New(standinhosts.WithHosts(hosts)))
	t.Cleanup(server.Close)
	for _, entry := range list {
		entry.HostListAddress = strings.TrimPrefix(server.URL, "http://")
	}
}

func (d *Daemon) next() uint64 { return d.host.Next() }

// TestStartDuringOutage guards against a host that cannot start while the log is
// down: it has to fetch the state from another host.
func TestStartDuringOutage(t *testing.T) {
	log := newTestLog(t)
	firstSettings, secondSettings := validSettings(t, "h1", log.address), validSettings(t, "h2", log.address)
	serveHostList(t, &firstSettings, &secondSettings)
	first := startDaemon(t, firstSettings)
	eventually(t, "the first host is a member", func() bool { return len(first.dump().Members) == 1 })
	written, err := first.writer.Submit(testContext(t), []record.Op{put("10-a.yaml", "# kept\n")})
	assertNoError(t, err)
	assertNoError(t, written.Results[0].Err)
	log.service.SetFault(standinlog.Fault{Mode: standinlog.Down})
	second := startDaemon(t, secondSettings)
	eventually(t, "the second host is ready", second.host.Ready)
	eventually(t, "the second host has caught up with the first", func() bool { return second.next() >= first.next() })
	second.host.ViewState(func(state *fold.State) {
		assertEqual(t, "files", len(state.Files()), 1)
		assertEqual(t, "content", string(state.Files()[0].Content), "# kept\n")
		assertEqual(t, "version", state.Files()[0].Version, written.Offset+1)
	})
	log.service.SetFault(standinlog.Fault{Mode: standinlog.Up})
	eventually(t, "both are members", func() bool { return len(first.dump().Members) == 2 })
}

// TestBootstrapFetchesAllPages guards against a host that becomes ready with an
// outdated state: because one reply does not hold all records of the other host, or
// because the fetched state is behind the retention of the log.
func TestBootstrapFetchesAllPages(t *testing.T) {
	log := newTestLog(t)
	full := newFixture(t, log, "h1")
	const records = 3*readLimit + 1
	data := [][]byte{encode(t, record.Batch{Ops: []record.Op{join("h1", 0)}})}
	for len(data) < records {
		data = append(data, []byte{0xff})
	}
	var list []message.Record
	for i, encoded := range data {
		list = append(list, message.Record{Offset: uint64(i), Data: encoded})
	}
	_, err := full.host.Fold(list, time.Now())
	assertNoError(t, err)
	full.host.OnLogRead(records, time.Now(), time.Now())
	joining := newFixture(t, log, "h2")
	call := func(_ context.Context, _ record.Member, call *message.Call) (*message.Reply, error) {
		if call.Ping != nil {
			pong := full.host.OnPing(time.Now())
			return &message.Reply{Ping: &pong}, nil
		}
		if joining.host.Ready() && joining.host.Next() < records {
			t.Errorf("ready: got a state before %d, want %d", joining.host.Next(), records)
		}
		reply, err := full.host.OnCatchup(call.Catchup.From)
		return &message.Reply{Catchup: &reply}, err
	}
	beats := &heartbeater{host: joining.host, call: call, now: time.Now, metrics: newMetrics(), onFolded: func([]host.FoldedBatch) {}}
	earliest := uint64(records + 1)
	watcher := &hostListWatcher{host: joining.host, heartbeater: beats, earliest: func() uint64 { return earliest }}
	watcher.bootstrap(testContext(t), []hostlist.Host{{Name: "h1", State: "live"}})
	assertEqual(t, "ready with a state behind the retention of the log", joining.host.Ready(), false)
	earliest = records
	watcher.bootstrap(testContext(t), []hostlist.Host{{Name: "h1", State: "live"}})
	assertEqual(t, "ready", joining.host.Ready(), true)
	assertEqual(t, "next", joining.host.Next(), records)
}

// TestMembersReset guards against a deployment that cannot be used again after all members
// are lost: it starts a host under a new name and makes it the only member.
func TestMembersReset(t *testing.T) {
	log := newTestLog(t)
	appendJoins(t, newFixture(t, log, "other"), 0, 3)
	d := startDaemon(t, validSettings(t, "h1", log.address))
	eventually(t, "ready", d.host.Ready)
	assertEqual(t, "proposals without a majority", len(d.host.Propose(time.Now())), 0)
	result, version, err := d.reset(testContext(t))
	assertNoError(t, err)
	assertEqual(t, "accepted", result.Accepted, true)
	eventually(t, "folded", func() bool { return d.next() >= version })
	members := d.dump().Members
	assertEqual(t, "members", len(members), 1)
	assertEqual(t, "member", members[0].Incarnation, d.host.Self().Incarnation)
}

// TestReadyz guards against callers that are routed to a host that has no state, differs
// from another host or is leaving.
func TestReadyz(t *testing.T) {
	d := newDaemon(t, validSettings(t, "h1", "127.0.0.1:1"))
	assertReadyz(t, d, 503, "no state yet")
	d.host.OnLogRead(0, time.Now(), time.Now())
	assertReadyz(t, d, 200, "ready")
	d.host.OnLogTrimmed()
	assertReadyz(t, d, 503, "no state yet")
	d.host.OnLogRead(0, time.Now(), time.Now())
	diverge(t, d)
	assertReadyz(t, d, 503, "state differs")
	d.host.StartLeaving()
	assertReadyz(t, d, 503, "leaving")
}

func assertReadyz(t *testing.T, d *Daemon, status int, text string) {
	t.Helper()
	response := httptest.NewRecorder()
	d.operatorHandler().ServeHTTP(response, httptest.NewRequest("GET", "/readyz", nil))
	assertEqual(t, "status", response.Code, status)
	if got := response.Body.String(); !strings.Contains(got, text) {
		t.Fatalf("body: got %q, want %q", got, text)
	}
}

// diverge folds a checkpoint whose digest differs from the digest of the host's
// state.
func diverge(t *testing.T, d *Daemon) {
	t.Helper()
	var list []message.Record
	for i, op := range []record.Checkpoint{{}, {BeforeNext: 1, BeforeDigest: 1}} {
		id := record.ID{Writer: record.Incarnation{Host: "w", Run: 1}, Seq: uint64(i + 1)}
		data := encode(t, record.Batch{ID: id, Ops: []record.Op{{Checkpoint: &op}}})
		list = append(list, message.Record{Offset: uint64(i), Data: data})
	}
	_, err := d.host.Fold(list, time.Now())
	assertNoError(t, err)
}

// TestDump guards against a state dump that discloses file contents or keys, or that grows
// without a limit.
func TestDump(t *testing.T) {
	t.Run("contains no file contents and no keys", func(t *testing.T) {
		const key = "c2VjcmV0LXNlY3JldC1zZWNyZXQtc2VjcmV0LXNlY3JldA=="
		settings := validSettings(t, "h1", "127.0.0.1:1")
		d := newDaemon(t, settings)
		d.settings.Security.TargetBearerKeysFile = filepath.Join(t.TempDir(), "keys")
		assertNoError(t, os.WriteFile(d.settings.Security.TargetBearerKeysFile, []byte(key+"\n"), 0o600))
		credentials, err := d.settings.Security.Open(clock.System{})
		assertNoError(t, err)
		d.credentials = credentials
		data := encode(t, record.Batch{Ops: []record.Op{put("10-a.yaml", "# unseen words\n")}})
		_, err = d.host.Fold([]message.Record{{Data: data}}, time.Now())
		assertNoError(t, err)
		response := httptest.NewRecorder()
		d.operatorHandler().ServeHTTP(response, httptest.NewRequest("GET", "/debug/state", nil))
		var out dump
		assertNoError(t, json.Unmarshal(response.Body.Bytes(), &out))
		assertEqual(t, "files", len(out.Files), 1)
		for _, secret := range []string{"unseen", "secret-secret", key} {
			if strings.Contains(response.Body.String(), secret) {
				t.Fatalf("dump: contains %q, want it left out", secret)
			}
		}
	})
	t.Run("is limited in size", func(t *testing.T) {
		out := dump{
			Members: make([]memberDump, maxDumpEntries+1), HeldTargets: make([]heldTargetDump, maxDumpEntries+1), Targets: make([]targetDump, maxDumpEntries+1),
			Unsettled: make([]string, maxDumpEntries+1), Files: make([]fileDump, maxDumpEntries+1), Shards: map[string]int{},
			Requests: requestsDump{Queues: map[string]admission.Load{}},
		}
		for i := range maxDumpEntries + 1 {
			out.Shards[fmt.Sprint(i)] = 1
			out.Requests.Queues[fmt.Sprint(i)] = admission.Load{}
		}
		out.truncate()
		for what, got := range map[string]int{
			"members": len(out.Members), "leads": len(out.HeldTargets), "targets": len(out.Targets), "unsettled": len(out.Unsettled),
			"files": len(out.Files), "shards": len(out.Shards), "queues": len(out.Requests.Queues),
		} {
			assertEqual(t, what, got, maxDumpEntries)
		}
		assertEqual(t, "truncated", out.Truncated, true)
	})
}
