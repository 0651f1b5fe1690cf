package peers

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pineturn/core/clock"
)

const service = "records"

var (
	self  = Host{Address: "self:1", Domain: "a", Incarnation: "0"}
	near  = Host{Address: "near:1", Domain: "a", Incarnation: "1"}
	other = Host{Address: "other:1", Domain: "a", Incarnation: "2"}
	far   = Host{Address: "far:1", Domain: "b", Incarnation: "3"}
)

// newTable returns a table of this host that knows others, and its clock. Picks take
// the last host by address.
func newTable(others ...Host) (*Table, *clock.Fake) {
	clk := clock.NewFake(time.Unix(1000, 0))
	t := New(self)
	t.Random = func(n int) int { return n - 1 }
	t.Put(others, clk.Now())
	return t, clk
}

// wantPick asserts which host is picked; an empty address stands for none.
func wantPick(t *testing.T, table *Table, now time.Time, want string, exclude ...string) {
	t.Helper()
	got, ok := table.Pick(service, exclude, now)
	if got.Address != want || ok != (want != "") {
		t.Errorf("host picked: got %q, %t, want %q", got.Address, ok, want)
	}
}

func detached(h Host, services ...string) Host {
	h.Detached = services
	return h
}

// TestPick guards against a request that is relayed to a host which can't serve it, or
// that crosses failure domains without need.
func TestPick(t *testing.T) {
	for _, c := range []struct {
		name    string
		list    []Host
		exclude []string
		want    string
	}{
		{name: "no other host", list: []Host{self}},
		{name: "own failure domain first", list: []Host{self, near, far}, want: near.Address},
		{name: "any of the own failure domain", list: []Host{self, near, other, far}, want: other.Address},
		{name: "excluded", list: []Host{self, near, other, far}, exclude: []string{other.Address}, want: near.Address},
		{name: "another failure domain", list: []Host{self, near, far}, exclude: []string{near.Address}, want: far.Address},
		{name: "detached", list: []Host{detached(near, service), far}, want: far.Address},
		{name: "detached for another service", list: []Host{detached(near, "payouts"), far}, want: near.Address},
		{name: "all detached", list: []Host{detached(near, "payouts", service), detached(far, service)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, clk := newTable(c.list...)
			wantPick(t, table, clk.Now(), c.want, c.exclude...)
		})
	}
}

// TestPickSpreads guards against relayed requests that all go to one host.
func TestPickSpreads(t *testing.T) {
	table, clk := newTable(near, other, far)
	picked := make(map[string]bool)
	for i := range 2 {
		table.Random = func(int) int { return i }
		h, _ := table.Pick(service, nil, clk.Now())
		picked[h.Address] = true
	}
	if !picked[near.Address] || !picked[other.Address] {
		t.Errorf("hosts picked: got %v, want both of the own failure domain", picked)
	}
}

// TestBackoff guards against a host that fails and is tried by every request, and
// against one that has recovered and is not tried any more.
func TestBackoff(t *testing.T) {
	table, clk := newTable(near)
	wantBackoff := func(t *testing.T, want time.Duration) {
		t.Helper()
		table.MarkFailed(near.Address, clk.Now())
		clk.Advance(want - time.Millisecond)
		wantPick(t, table, clk.Now(), "")
		clk.Advance(time.Millisecond)
		wantPick(t, table, clk.Now(), near.Address)
	}
	for _, want := range []time.Duration{500, 1000, 2000, 4000, 4000} {
		t.Run("failed, "+strconv.Itoa(int(want)), func(t *testing.T) { wantBackoff(t, want*time.Millisecond) })
	}
	t.Run("served", func(t *testing.T) {
		table.MarkFailed(near.Address, clk.Now())
		table.MarkServed(near.Address, clk.Now())
		wantPick(t, table, clk.Now(), near.Address)
		wantBackoff(t, 500*time.Millisecond)
	})
	t.Run("failures at the same time", func(t *testing.T) {
		table.MarkServed(near.Address, clk.Now())
		table.MarkFailed(near.Address, clk.Now())
		wantBackoff(t, 500*time.Millisecond)
	})
	t.Run("a list without news", func(t *testing.T) {
		table.MarkFailed(near.Address, clk.Now())
		table.Put([]Host{near}, clk.Now())
		wantPick(t, table, clk.Now(), "")
	})
	t.Run("a new process", func(t *testing.T) {
		next := near
		next.Incarnation = "9"
		table.Put([]Host{next}, clk.Now())
		wantPick(t, table, clk.Now(), near.Address)
	})
	t.Run("an unknown host", func(t *testing.T) {
		table.MarkFailed("unknown:1", clk.Now())
		table.MarkServed("unknown:1", clk.Now())
		table.MarkDetached("unknown:1", service, clk.Now())
		wantPick(t, table, clk.Now(), near.Address)
	})
}

// TestMarkDetached guards against requests that are relayed again to a host which has
// just said that it is detached, and against a host that is left out for too long.
func TestMarkDetached(t *testing.T) {
	t.Run("for a second", func(t *testing.T) {
		table, clk := newTable(near)
		table.MarkDetached(near.Address, service, clk.Now())
		clk.Advance(time.Second - time.Millisecond)
		wantPick(t, table, clk.Now(), "")
		clk.Advance(time.Millisecond)
		wantPick(t, table, clk.Now(), near.Address)
	})
	t.Run("another service", func(t *testing.T) {
		table, clk := newTable(near)
		table.MarkDetached(near.Address, "payouts", clk.Now())
		wantPick(t, table, clk.Now(), near.Address)
	})
	t.Run("a list without news", func(t *testing.T) {
		table, clk := newTable(near)
		table.MarkDetached(near.Address, service, clk.Now())
		table.Put([]Host{near}, clk.Now())
		wantPick(t, table, clk.Now(), "")
	})
	t.Run("a newer list", func(t *testing.T) {
		table, clk := newTable(near)
		table.MarkDetached(near.Address, service, clk.Now())
		table.Put([]Host{detached(near, service)}, clk.Now())
		clk.Advance(time.Second)
		wantPick(t, table, clk.Now(), "")
		table.MarkDetached(near.Address, service, clk.Now())
		table.Put([]Host{near}, clk.Now())
		wantPick(t, table, clk.Now(), near.Address)
	})
}

// TestPut guards against a change of leader that leaves a host without others, and
// against hosts that have left and are tried forever.
func TestPut(t *testing.T) {
	table, clk := newTable(near, far)
	wantHosts := func(t *testing.T, want ...Host) {
		t.Helper()
		if got := table.Hosts(clk.Now()); !slices.EqualFunc(got, want, Host.Equal) {
			t.Errorf("hosts: got %v, want %v", got, want)
		}
	}
	t.Run("missing in a new list", func(t *testing.T) {
		clk.Advance(time.Minute)
		table.Put([]Host{self, far}, clk.Now())
		clk.Advance(forgetDelay - time.Millisecond)
		table.Put([]Host{self, far}, clk.Now())
		wantHosts(t, far, near)
	})
	t.Run("missing for 10 s", func(t *testing.T) {
		clk.Advance(time.Millisecond)
		wantPick(t, table, clk.Now(), far.Address)
		wantHosts(t, far)
	})
	t.Run("listed again in time", func(t *testing.T) {
		table.Put([]Host{near, far}, clk.Now())
		table.Put([]Host{far}, clk.Now())
		table.Put([]Host{near, far}, clk.Now())
		clk.Advance(forgetDelay)
		wantHosts(t, far, near)
	})
	t.Run("changed", func(t *testing.T) {
		table.Put([]Host{detached(near, service), far}, clk.Now())
		wantHosts(t, far, detached(near, service))
	})
}

// TestSetDetached guards against a change of this host's own state that is not seen,
// or seen where there is none.
func TestSetDetached(t *testing.T) {
	table, _ := newTable()
	for _, c := range []struct {
		services, want []string
		changed        bool
	}{
		{nil, nil, false},
		{[]string{"records", "payouts", "records"}, []string{"payouts", "records"}, true},
		{[]string{"payouts", "records"}, []string{"payouts", "records"}, false},
		{nil, nil, true},
	} {
		if got := table.SetDetached(c.services); got != c.changed {
			t.Errorf("change to %v: got %t, want %t", c.services, got, c.changed)
		}
		if got := table.Self(); !got.Equal(detached(self, c.want...)) {
			t.Errorf("this host: got %v, want detached for %v", got, c.want)
		}
	}
}
