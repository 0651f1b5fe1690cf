package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/io/standin/keyholder"
	"pineturn/io/standin/platformstore"
)

func TestAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	one, two := r.addTarget("c1", plainService), r.addTarget("c2", plainService)
	order := r.addTarget("p1", orderService)
	h := r.addHost("host-1")
	client := newClient(t)
	eventually(t, "targets are known", 3*time.Second, func() bool {
		return r.call(client, h, "GET", "/cover/x", -1, "").status == 200 && r.call(client, h, "POST", "/payout/x", -1, "b").status == 200
	})
	both := func(m keyholder.Misbehaviour) {
		one.Misbehave(m)
		two.Misbehave(m)
	}
	t.Run("own answer", func(t *testing.T) {
		got := r.call(client, h, "GET", "/cover/a%2Fb?x=1&y", -1, "")
		wantStatus(t, got, http.StatusOK)
		wantOwnAnswer(t, got)
		runs := r.audit.Runs()
		if got, want := runs[len(runs)-1].Path, "/cover/a%2Fb?x=1&y"; got != want {
			t.Errorf("path at the target: got %q, want %q", got, want)
		}
	})
	t.Run("no route", func(t *testing.T) {
		wantStatus(t, r.call(client, h, "GET", "/nowhere/", -1, ""), http.StatusNotFound)
	})
	t.Run("body", func(t *testing.T) {
		body := strings.Repeat("b", 300<<10)
		wantStatus(t, r.call(client, h, "POST", "/payout/big", -1, body), http.StatusOK)
		runs := r.audit.Runs()
		if got := runs[len(runs)-1].Body; got != body {
			t.Errorf("body at the target: got %d bytes, want %d", len(got), len(body))
		}
	})
	t.Run("answers spoiled at one target", func(t *testing.T) {
		for _, m := range []keyholder.Misbehaviour{{Unsigned: true}, {Cut: true}, {Extra: true}, {Fail: true}} {
			one.Misbehave(m)
			for range 20 {
				got := r.call(client, h, "GET", "/cover/x", -1, "")
				wantOwnAnswer(t, got)
			}
		}
		both(keyholder.Misbehaviour{})
	})
	t.Run("refused by all targets", func(t *testing.T) {
		both(keyholder.Misbehaviour{Shed: true})
		before := len(r.audit.Runs())
		got := r.call(client, h, "GET", "/cover/x", -1, "")
		wantStatus(t, got, http.StatusServiceUnavailable)
		if got.header.Get("Retry-After") == "" {
			t.Errorf("Retry-After: got none, want one")
		}
		if got := len(r.audit.Runs()); got != before {
			t.Errorf("runs of a refused request: got %d, want 0", got-before)
		}
		both(keyholder.Misbehaviour{})
	})
	t.Run("payout without an answer", func(t *testing.T) {
		order.Misbehave(keyholder.Misbehaviour{Silent: true})
		got := r.call(client, h, "POST", "/payout/x", -1, "b")
		wantStatus(t, got, http.StatusGatewayTimeout)
		if got.took > 1300*time.Millisecond {
			t.Errorf("answer at the route's timeout of 1 s: got it after %v, want at most 1.3 s", got.took)
		}
		order.Misbehave(keyholder.Misbehaviour{})
	})
	t.Run("silent target", func(t *testing.T) {
		one.Misbehave(keyholder.Misbehaviour{Silent: true})
		for range 6 {
			wantStatus(t, r.call(client, h, "GET", "/cover/x", -1, ""), http.StatusOK)
		}
		both(keyholder.Misbehaviour{})
	})
	wantAtMostOnce(t, r.audit.Runs(), "/payout/")
}

func TestPayoutsWithExtraAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	order := r.addTarget("p1", orderService)
	h := r.addHost("host-1")
	order.Misbehave(keyholder.Misbehaviour{Extra: true})
	client := newClient(t)
	eventually(t, "target is known", 3*time.Second, func() bool { return r.call(client, h, "POST", "/payout/x", -1, "b").status == 200 })
	for range 50 {
		wantOwnAnswer(t, r.call(client, h, "POST", "/payout/x", -1, "b"))
	}
	wantAtMostOnce(t, r.audit.Runs(), "/payout/")
}

func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.addTarget("c1", plainService)
	hosts := []*host{r.addHost("host-1"), r.addHost("host-2")}
	client := newClient(t)
	inForce := func(version int) func() bool {
		return func() bool {
			for _, h := range hosts {
				if r.call(client, h, "GET", fmt.Sprintf("/v%d/", version), -1, "").status != http.StatusOK {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "version 1", 3*time.Second, inForce(1))
	t.Run("a new version", func(t *testing.T) {
		r.configure(2)
		eventually(t, "version 2", 2*time.Second, inForce(2))
	})
	t.Run("an older version comes late", func(t *testing.T) {
		r.configure(1)
		time.Sleep(300 * time.Millisecond)
		if !inForce(2)() {
			t.Error("version 2: got an older one in force, want none")
		}
	})
	t.Run("history expired", func(t *testing.T) {
		r.configure(3)
		r.store.ExpireAll()
		eventually(t, "version 3", 2*time.Second, inForce(3))
	})
	t.Run("after the store was silent", func(t *testing.T) {
		r.store.SetFault(platformstore.Fault{Mode: "silent"})
		time.Sleep(3 * time.Second)
		r.configure(4)
		r.store.SetFault(platformstore.Fault{})
		eventually(t, "version 4", 2*time.Second, inForce(4))
	})
	t.Run("one host turned away by the store", func(t *testing.T) {
		ip, _, _ := strings.Cut(hosts[0].front, ":")
		r.store.SetFault(platformstore.Fault{Mode: "silent", Hosts: []string{ip}})
		time.Sleep(500 * time.Millisecond)
		r.configure(5)
		eventually(t, "version 5 at the other host", 2*time.Second, func() bool {
			return r.call(client, hosts[1], "GET", "/v5/", -1, "").status == http.StatusOK
		})
		r.store.SetFault(platformstore.Fault{})
	})
}

func TestEntriesOfOthers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	for i, entry := range []string{
		`{`, `[]`, `{"address":7}`, `{"address":"127.0.0.1:1","info":{"service":"coverdesk"}}`,
		`{"address":"127.0.0.1:1","info":{"service":"coverdesk","zone":"a","capacity":"2"},"status":{"state":"ready","sequence":1,"warmup_left_s":0}}`,
		`{"address":"127.0.0.1:1","info":{"service":"coverdesk","zone":"a","capacity":2},"status":{"state":"asleep","sequence":1,"warmup_left_s":0}}`,
		`{"address":"127.0.0.1:1","born":1.5,"info":{"service":"coverdesk","zone":"a","capacity":2},"status":{"state":"ready","sequence":1,"warmup_left_s":0}}`,
	} {
		r.store.PutTarget(fmt.Sprint("foreign", i), []byte(entry))
	}
	r.addTarget("c1", plainService)
	h := r.addHost("host-1")
	if got := len(h.gateway.targets.Entries("")); got != 1 {
		t.Errorf("targets: got %d, want 1", got)
	}
	wantStatus(t, r.call(newClient(t), h, "GET", "/cover/x", -1, ""), http.StatusOK)
}

// keyedSite is a site with three targets that divide keys and three hosts.
func keyedSite(t *testing.T) (*rig, []*host, func(h *host) bool) {
	r := newRig(t)
	for i := range 3 {
		r.addTarget(fmt.Sprint("k", i), keyedService)
	}
	var hosts []*host
	for i := range 3 {
		hosts = append(hosts, r.addHost(fmt.Sprint("host-", i)))
	}
	client := newClient(t)
	served := func(h *host) bool {
		for key := 0; key < 1<<16; key += 4096 {
			if r.call(client, h, "GET", "/records/x", key, "").status != http.StatusOK {
				return false
			}
		}
		return true
	}
	for _, h := range hosts {
		eventually(t, "all keys are served", 8*time.Second, func() bool { return served(h) })
	}
	return r, hosts, served
}

func leaderOf(hosts []*host) int {
	for i, h := range hosts {
		if h.gateway.coordinator.Leading() {
			return i
		}
	}
	return -1
}

func TestKeys(t *testing.T) {
	t.Parallel()
	r, hosts, served := keyedSite(t)
	t.Run("target leaves", func(t *testing.T) {
		r.store.PutTarget("k0", r.targets["k0"].Entry(2, true))
		left := time.Now()
		eventually(t, "all keys are served", 4*time.Second, func() bool { return served(hosts[0]) && served(hosts[1]) })
		time.Sleep(2 * time.Second)
		for _, run := range r.audit.Runs() {
			if run.Target == "k0" && run.At.Sub(left) > 2*time.Second {
				t.Errorf("run at a leaving target: got one after %v, want none after 2 s", run.At.Sub(left))
			}
		}
	})
	t.Run("target ends", func(t *testing.T) {
		r.targets["k1"].end()
		r.audit.Ended("k1")
		r.store.PutTarget("k1", nil)
		eventually(t, "all keys are served", 8*time.Second, func() bool { return served(hosts[2]) })
	})
	t.Run("target is added", func(t *testing.T) {
		r.addTarget("k3", keyedService)
		eventually(t, "the newcomer holds keys", 5*time.Second, func() bool { return r.audit.Holders()["k3"] })
		eventually(t, "all keys are served", 4*time.Second, func() bool { return served(hosts[1]) })
	})
	wantOneOwner(t, r.audit)
}

func TestLeaderStops(t *testing.T) {
	t.Parallel()
	r, hosts, served := keyedSite(t)
	leader := leaderOf(hosts)
	if leader < 0 {
		t.Fatal("leader: got none, want one")
	}
	hosts[leader].stop()
	other := hosts[(leader+1)%len(hosts)]
	eventually(t, "another host leads", 5*time.Second, func() bool { return leaderOf(hosts) >= 0 && leaderOf(hosts) != leader })
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !served(other) {
			t.Fatal("keys while the leader changes: got a refusal, want all served")
		}
	}
	wantOneOwner(t, r.audit)
}

func TestStoreDown(t *testing.T) {
	t.Parallel()
	r, hosts, served := keyedSite(t)
	r.store.SetFault(platformstore.Fault{Mode: "busy"})
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if !served(hosts[0]) {
			t.Fatal("keys while the store is down: got a refusal, want all served")
		}
	}
	r.store.SetFault(platformstore.Fault{})
	wantOneOwner(t, r.audit)
}

// TestStopWithSilentTarget replays a request that its target never answers while
// the host stops: it gets an answer before the host ends.
func TestStopWithSilentTarget(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.patience = 20 * time.Second
	silent := r.addTarget("c1", plainService)
	h := r.addHost("host-1")
	client := newClient(t)
	client.Timeout = r.patience
	eventually(t, "target is known", 3*time.Second, func() bool { return r.call(client, h, "GET", "/cover/x", -1, "").status == 200 })
	silent.Misbehave(keyholder.Misbehaviour{Silent: true})
	answers := make(chan reply, 1)
	go func() { answers <- r.call(client, h, "GET", "/"+slowRoute+"/x", -1, "") }()
	time.Sleep(100 * time.Millisecond)
	h.stop()
	wantStatus(t, <-answers, http.StatusBadGateway)
}

func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.addTarget("c1", plainService)
	r.addTarget("p1", orderService)
	h := r.addHost("host-1")
	client := newClient(t)
	eventually(t, "targets are known", 3*time.Second, func() bool { return r.call(client, h, "POST", "/payout/x", -1, "b").status == 200 })
	done := make(chan struct{})
	var callers sync.WaitGroup
	var unread sync.Map
	for i := range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			client := newClient(t)
			for {
				select {
				case <-done:
					return
				default:
				}
				path, method := "/cover/x", "GET"
				if i%2 == 0 {
					path, method = "/payout/x", "POST"
				}
				got := r.call(client, h, method, path, -1, "b")
				if got.err != nil {
					// The request met the closing of its connection: it may not
					// have been passed on.
					unread.Store(got.id, true)
					return
				}
				wantStatus(t, got, http.StatusOK)
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	h.stop()
	eventually(t, "readiness is off", time.Second, func() bool { return !h.isReady() })
	select {
	case err := <-h.ended:
		h.ended <- err
	case <-time.After(6 * time.Second):
		t.Error("host: got no end within 6 s, want one")
	}
	close(done)
	callers.Wait()
	for _, run := range r.audit.Runs() {
		if _, ok := unread.Load(run.ID); ok {
			t.Errorf("%s: got its connection closed after it was passed on, want an answer", run.ID)
		}
	}
	wantAtMostOnce(t, r.audit.Runs(), "/payout/")
}
