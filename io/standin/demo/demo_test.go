package demo_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"pineturn/core/audit"
	"pineturn/io/standin/auditfile"
	"pineturn/io/standin/demo"
	"pineturn/io/standin/hostlist"
	"pineturn/io/standin/targetclient"
)

const stopTimeout = 30 * time.Second

func assertStops(t *testing.T, running *demo.Demo) {
	t.Helper()
	select {
	case <-running.Done():
		if err := running.Err(); err != nil {
			t.Fatalf("got %v, want a clean stop", err)
		}
	case <-time.After(stopTimeout):
		t.Fatal("platform still running after 30 s, want it stopped")
	}
}

// Guards against a stop that fails, takes longer than 30 s or leaves the audit
// incomplete: a platform with one target is started, read and cancelled.
func TestPlatformServesAndStops(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	auditFolder := t.TempDir()
	running, err := demo.Start(ctx,
		demo.WithAddresses("127.0.0.1:0", "127.0.0.1:0"),
		demo.WithHosts(hostlist.Host{Name: "host-1"}),
		demo.WithTargets(demo.Target{Service: "s", Name: "t", Address: "127.0.0.1:0", Slots: 1, Connections: 9}),
		demo.WithAuditFolder(auditFolder))
	if err != nil {
		t.Fatal(err)
	}
	address := running.Addresses().Targets[0].Address
	status, err := targetclient.ReadStatus(ctx, address)
	if err != nil || status.Slots != 1 {
		t.Fatalf("got %+v, %v, want 1 slot", status, err)
	}
	cancel()
	assertStops(t, running)
	files, _, err := auditfile.Read(auditFolder)
	if err != nil || len(files) != 1 {
		t.Fatalf("got %v, %v, want one audit", files, err)
	}
	entries := files[0].Entries
	if got := entries[len(entries)-1].Kind; got != audit.Stopped {
		t.Fatalf("got %s last, want %s", got, audit.Stopped)
	}
}

// Guards against a start that succeeds without its audits: the audit folder is
// missing. That the services are stopped is not asserted here.
func TestFailedStartStopsServices(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	running, err := demo.Start(context.Background(),
		demo.WithAddresses("127.0.0.1:0", "127.0.0.1:0"), demo.WithAuditFolder(missing))
	if err == nil {
		t.Fatalf("got %+v, want an error for the missing folder", running.Addresses())
	}
}
