package hostlink

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/peers"
	"pineturn/platform"
)

// serveOwners returns the address of a host that knows the leader of an epoch.
func serveOwners(t *testing.T, epoch int64, owners platform.Record) (*Server, string) {
	t.Helper()
	s := NewServer("p", clock.Boot{})
	s.Leadership = func() (int64, bool) { return epoch, false }
	s.Owners = func() (platform.Record, bool) { return owners, true }
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

// TestQueryOwners guards against hosts that are told of no leader, or of an earlier one, and
// against queries that count as hosts.
func TestQueryOwners(t *testing.T) {
	const epoch = 7
	owners := platform.Record{Key: platform.KeyOwners, Value: []byte("owners"), Offset: 3}
	s, address := serveOwners(t, epoch, owners)
	for _, x := range []struct {
		name  string
		known int64
		want  bool
	}{
		{name: "no leader is known", known: 0, want: true}, {name: "an earlier leader is known", known: epoch - 1, want: true},
		{name: "the same leader is known", known: epoch}, {name: "a later leader is known", known: epoch + 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			got, err := queryOwners(t.Context(), address, x.known, clock.Boot{})
			if err != nil {
				t.Fatal(err)
			}
			if (got != nil) != x.want || got != nil && !bytes.Equal(got.Value, owners.Value) {
				t.Errorf("record of a later leader: got %v, want one: %t", got, x.want)
			}
		})
	}
	if got := s.Hosts(); got != 1 {
		t.Errorf("hosts after queries: got %d, want 1", got)
	}
	t.Run("invalid", func(t *testing.T) {
		if _, err := dial(t.Context(), address, "?"+queryParameter+"=x", clock.Boot{}); err == nil {
			t.Error("query with an epoch that is no number: got no error, want one")
		}
	})
}

// TestFinderIntervals guards against queries while the leader is known, and against too many
// while the store is away from all hosts.
func TestFinderIntervals(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	f := NewFinder(clk)
	lost := false
	f.Lost = func() bool { return lost }
	f.Hosts = func() []peers.Host { return nil }
	count := func(d time.Duration) int {
		n := 0
		for end := clk.Now().Add(d); clk.Now().Before(end); clk.Advance(linkPollInterval) {
			if f.due() {
				n++
			}
		}
		return n
	}
	if got := count(time.Minute); got != 0 {
		t.Errorf("queries in a minute with a leader: got %d, want none", got)
	}
	lost = true
	if got := count(3 * time.Second); got < 3 || got > 4 {
		t.Errorf("queries in the first 3 s without a leader: got %d, want 3 or 4", got)
	}
	if got := count(20 * time.Second); got > 11 {
		t.Errorf("queries in the next 20 s: got %d, want at most 11", got)
	}
}
