package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pineturn/io/standin/platformstore"
)

const (
	// updateBound is the operators' bound on a change that reaches all hosts, and
	// unstableBound what they add to it while the store refuses some of them.
	updateBound   = 2 * time.Second
	unstableBound = 5 * time.Second
	// readsEnd is a time by which reads of the leader that began before the store refuses it
	// have ended, and no other host leads yet.
	readsEnd = time.Second
)

// refuse makes the store refuse some hosts.
func (c *testCluster) refuse(mode string, hosts ...*host) {
	var addresses []string
	for _, h := range hosts {
		ip, _, _ := strings.Cut(h.front, ":")
		addresses = append(addresses, ip)
	}
	c.store.SetFault(platformstore.Fault{Mode: mode, Hosts: addresses})
}

// wantVersion checks that hosts get a version of the configuration within a time from now.
func (c *testCluster) wantVersion(t *testing.T, version int, within time.Duration, hosts ...*host) {
	t.Helper()
	client, start := newClient(t), time.Now()
	for _, h := range hosts {
		eventually(t, fmt.Sprintf("version %d at %s", version, h.gateway.settings.Name), time.Until(start.Add(within)), func() bool {
			return c.call(client, h, "GET", fmt.Sprintf("/v%d/", version), -1, "").status == http.StatusOK
		})
	}
	t.Logf("version %d at %d hosts after %v", version, len(hosts), time.Since(start).Round(time.Millisecond))
}

// awaitOtherLeader waits until a host outside of some leads.
func (c *pathCluster) awaitOtherLeader(t *testing.T, hosts ...*host) {
	t.Helper()
	eventually(t, "another host leads", updateBound+unstableBound, func() bool {
		i := leaderIndex(c.hosts)
		if i < 0 {
			return false
		}
		for _, h := range hosts {
			if c.hosts[i] == h {
				return false
			}
		}
		return true
	})
}

// end ends a host without a stop.
func (c *testCluster) end(t *testing.T, h *host) {
	t.Helper()
	if err := h.gateway.peerServer.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-h.done; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("%s without a server for other hosts: got error %v, want %v", h.gateway.settings.Name, err, http.ErrServerClosed)
	}
	h.done <- nil
}

// leaderAndNext returns the leader and a host that does not lead.
func (c *pathCluster) leaderAndNext() (leader, next *host) {
	i := leaderIndex(c.hosts)
	return c.hosts[i], c.hosts[(i+1)%len(c.hosts)]
}

// TestChangeAtRefusedHosts guards against hosts that the store refuses and that keep an
// outdated configuration, because the leader is refused as well and they do not learn of the
// next one.
func TestChangeAtRefusedHosts(t *testing.T) {
	for _, mode := range []string{"busy", "many", "reset", "silent"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			c := newPathCluster(t)
			c.awaitServed(t)
			leader, next := c.leaderAndNext()
			c.refuse(mode, leader, next)
			c.awaitOtherLeader(t, leader, next)
			time.Sleep(time.Second)
			c.configure(2)
			c.wantVersion(t, 2, updateBound+unstableBound, leader, next)
			c.configure(3)
			c.wantVersion(t, 3, updateBound, c.hosts...)
		})
	}
}

// TestChangeWithoutLeader guards against hosts that get a change too late after the leader has
// ended, because the first read of their own is refused as one of too many.
func TestChangeWithoutLeader(t *testing.T) {
	t.Parallel()
	c := newPathCluster(t)
	c.awaitServed(t)
	leader, _ := c.leaderAndNext()
	others := slices.DeleteFunc(slices.Clone(c.hosts), func(h *host) bool { return h == leader })
	c.mu.Lock()
	for _, h := range others {
		ip, _, _ := strings.Cut(h.front, ":")
		c.nextReadRefused[ip] = true
	}
	c.mu.Unlock()
	c.end(t, leader)
	c.configure(2)
	c.wantVersion(t, 2, updateBound, others...)
}

// TestMissedChangeAtRefusedHosts guards against hosts that the store refuses and that never
// get a change that was made while nobody relayed it to them.
func TestMissedChangeAtRefusedHosts(t *testing.T) {
	t.Run("leader is refused", func(t *testing.T) {
		t.Parallel()
		c := newPathCluster(t)
		c.awaitServed(t)
		leader, next := c.leaderAndNext()
		c.refuse("busy", leader, next)
		time.Sleep(readsEnd)
		c.configure(2)
		c.wantVersion(t, 2, updateBound+unstableBound, leader, next)
	})
	t.Run("leader ends", func(t *testing.T) {
		t.Parallel()
		c := newPathCluster(t)
		c.awaitServed(t)
		leader, next := c.leaderAndNext()
		c.refuse("silent", leader, next)
		c.end(t, leader)
		time.Sleep(readsEnd)
		c.configure(2)
		c.wantVersion(t, 2, updateBound+unstableBound, next)
	})
}
