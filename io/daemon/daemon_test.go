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
	if faults := settings.Check(); len(faults) > 0 {
		t.Fatalf("settings: got %v, want no fault", faults)
	}
	d, err := New(settings, clock.System{})
	assertNoError(t, err)
	return d
}

func started(t *testing.T, settings Settings) *Daemon {
	t.Helper()
	d := newDaemon(t, settings)
	assertNoError(t, d.Start())
	t.Cleanup(func() { _ = d.Stop() })
	return d
}

// serveHostList lists the hosts of the settings on loopback.
func serveHostList(t *testing.T, list ...*Settings) {
	t.Helper()
	var hosts []standinhosts.Host
	for _, one := range list {
		hosts = append(hosts, standinhosts.Host{Name: one.Name, Address: one.PeerAddress, Domain: one.Domain, State: "live"})
	}
	server := httptest.NewServer(standinhosts.New(standinhosts.WithHosts(hosts)))
	t.Cleanup(server.Close)
	for _, one := range list {
		one.HostListAddress = strings.TrimPrefix(server.URL, "http://")
	}
}

func (d *Daemon) next() uint64 { return d.host.Next() }

func TestStartDuringOutage(t *testing.T) {
	log := newLog(t)
	one, other := goodSettings(t, "h1", log.address), goodSettings(t, "h2", log.address)
	serveHostList(t, &one, &other)
	first := started(t, one)
	eventually(t, "the first host is a member", func() bool { return len(first.dump().Members) == 1 })
	written, err := first.writer.Submit(within(t), []record.Op{put("10-a.yaml", "# kept\n")})
	assertNoError(t, err)
	assertNoError(t, written.Results[0].Err)
	log.service.SetFault(standinlog.Fault{Mode: standinlog.Down})
	second := started(t, other)
	eventually(t, "the second host is ready", second.host.Ready)
	eventually(t, "the second host knows as much", func() bool { return second.next() >= first.next() })
	second.host.ViewState(func(state *fold.State) {
		assertEqual(t, "files", len(state.Files()), 1)
		assertEqual(t, "content", string(state.Files()[0].Content), "# kept\n")
		assertEqual(t, "version", state.Files()[0].Version, written.Offset+1)
	})
	log.service.SetFault(standinlog.Fault{Mode: standinlog.Up})
	eventually(t, "both are members", func() bool { return len(first.dump().Members) == 2 })
}

func TestBootstrapTakesAllThatThePeerKnows(t *testing.T) {
	log := newLog(t)
	full := newRig(t, log, "h1")
	const records = 3*readLimit + 1
	data := [][]byte{encode(t, record.Batch{Ops: []record.Op{join("h1", 0)}})}
	for len(data) < records {
		data = append(data, []byte{0xff})
	}
	var list []message.Record
	for i, one := range data {
		list = append(list, message.Record{Offset: uint64(i), Data: one})
	}
	_, err := full.host.Fold(list, time.Now())
	assertNoError(t, err)
	full.host.OnLogRead(records, time.Now(), time.Now())
	late := newRig(t, log, "h2")
	call := func(_ context.Context, _ record.Member, call *message.Call) (*message.Reply, error) {
		if call.Ping != nil {
			pong := full.host.OnPing(time.Now())
			return &message.Reply{Ping: &pong}, nil
		}
		if late.host.Ready() && late.host.Next() < records {
			t.Errorf("ready: got a state before %d, want %d", late.host.Next(), records)
		}
		reply, err := full.host.OnCatchup(call.Catchup.From)
		return &message.Reply{Catchup: &reply}, err
	}
	beater := &beater{host: late.host, call: call, now: time.Now, counts: newMetrics(), folded: func([]host.FoldedBatch) {}}
	floor := uint64(records + 1)
	lister := &lister{host: late.host, beater: beater, floor: func() uint64 { return floor }}
	lister.bootstrap(within(t), []hostlist.Host{{Name: "h1", State: "live"}})
	assertEqual(t, "ready by a state that the log can't continue", late.host.Ready(), false)
	floor = records
	lister.bootstrap(within(t), []hostlist.Host{{Name: "h1", State: "live"}})
	assertEqual(t, "ready", late.host.Ready(), true)
	assertEqual(t, "next", late.host.Next(), records)
}

// TestMembersReset starts a host under a new name when all members are lost.
func TestMembersReset(t *testing.T) {
	log := newLog(t)
	appendJoins(t, newRig(t, log, "other"), 0, 3)
	d := started(t, goodSettings(t, "h1", log.address))
	eventually(t, "ready", d.host.Ready)
	assertEqual(t, "proposals without a majority", len(d.host.Propose(time.Now())), 0)
	verdict, version, err := d.reset(within(t))
	assertNoError(t, err)
	assertEqual(t, "accepted", verdict.Accepted, true)
	eventually(t, "folded", func() bool { return d.next() >= version })
	members := d.dump().Members
	assertEqual(t, "members", len(members), 1)
	assertEqual(t, "member", members[0].Incarnation, d.host.Self().Incarnation)
}

func TestReadyz(t *testing.T) {
	d := newDaemon(t, goodSettings(t, "h1", "127.0.0.1:1"))
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
	answer := httptest.NewRecorder()
	d.adminHandler().ServeHTTP(answer, httptest.NewRequest("GET", "/readyz", nil))
	assertEqual(t, "status", answer.Code, status)
	if got := answer.Body.String(); !strings.Contains(got, text) {
		t.Fatalf("body: got %q, want %q", got, text)
	}
}

// diverge folds checkpoints that state another digest than the host's own.
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

func TestDump(t *testing.T) {
	t.Run("holds no content of files and no key", func(t *testing.T) {
		const key = "c2VjcmV0LXNlY3JldC1zZWNyZXQtc2VjcmV0LXNlY3JldA=="
		settings := goodSettings(t, "h1", "127.0.0.1:1")
		d := newDaemon(t, settings)
		d.settings.Security.TargetKeysFile = filepath.Join(t.TempDir(), "keys")
		assertNoError(t, os.WriteFile(d.settings.Security.TargetKeysFile, []byte(key+"\n"), 0o600))
		keys, err := d.settings.Security.Open(clock.System{})
		assertNoError(t, err)
		d.keys = keys
		data := encode(t, record.Batch{Ops: []record.Op{put("10-a.yaml", "# unseen words\n")}})
		_, err = d.host.Fold([]message.Record{{Data: data}}, time.Now())
		assertNoError(t, err)
		answer := httptest.NewRecorder()
		d.adminHandler().ServeHTTP(answer, httptest.NewRequest("GET", "/debug/state", nil))
		var out dump
		assertNoError(t, json.Unmarshal(answer.Body.Bytes(), &out))
		assertEqual(t, "files", len(out.Files), 1)
		for _, secret := range []string{"unseen", "secret-secret", key} {
			if strings.Contains(answer.Body.String(), secret) {
				t.Fatalf("dump: got one that holds %q, want none", secret)
			}
		}
	})
	t.Run("is bounded", func(t *testing.T) {
		out := dump{
			Members: make([]memberDump, maxDump+1), Leads: make([]leadDump, maxDump+1), Targets: make([]targetDump, maxDump+1),
			Unsettled: make([]string, maxDump+1), Files: make([]fileDump, maxDump+1), Shards: map[string]int{},
			Requests: requestsDump{Queues: map[string]admission.Load{}},
		}
		for i := range maxDump + 1 {
			out.Shards[fmt.Sprint(i)] = 1
			out.Requests.Queues[fmt.Sprint(i)] = admission.Load{}
		}
		out.cut()
		for what, got := range map[string]int{
			"members": len(out.Members), "leads": len(out.Leads), "targets": len(out.Targets), "unsettled": len(out.Unsettled),
			"files": len(out.Files), "shards": len(out.Shards), "queues": len(out.Requests.Queues),
		} {
			assertEqual(t, what, got, maxDump)
		}
		assertEqual(t, "truncated", out.Truncated, true)
	})
}
