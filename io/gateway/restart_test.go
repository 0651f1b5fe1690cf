package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"pineturn/io/standin/keyholder"
	"pineturn/io/standin/platformstore"
)

// startAgain ends a target with keys and starts a later incarnation of it at its address, which writes no entry.
func (c *testCluster) startAgain(x *target) {
	c.t.Helper()
	_ = x.server.Close()
	c.audit.ReleaseAll(x.id)
	time.Sleep(100 * time.Millisecond)
	l, err := net.Listen("tcp", x.Address())
	if err != nil {
		c.t.Fatal(err)
	}
	x.Target = keyholder.New(keyholder.Options{
		ID: x.id, Service: keyedService, Address: x.Address(), Domain: "a", Slots: c.slots, Queue: 8,
		ServiceTime: 5 * time.Millisecond, Keyed: true, Born: 1,
	}, c.audit)
	x.server = &http.Server{Handler: x.Handler()}
	go func() { _ = x.server.Serve(l) }()
}

// TestRestartBeforeOutage guards against two targets that hold the same keys: one that starts again as the store goes
// down is granted its keys anew, and renewed, for the whole outage, and says in its first entry that it drains.
func TestRestartBeforeOutage(t *testing.T) {
	t.Parallel()
	const outage = 7 * time.Second
	c, hosts, served := newKeyedCluster(t)
	x := c.targets["k1"]
	c.store.SetFault(platformstore.Fault{Mode: "busy"})
	c.startAgain(x)
	time.Sleep(outage)
	c.store.SetFault(platformstore.Fault{})
	c.store.PutTarget(x.id, x.Entry(1, true))
	eventually(t, "the keys have left the target that drains", 8*time.Second, func() bool { return !c.audit.Owners()[x.id] })
	eventually(t, "all keys are served", 3*time.Second, func() bool { return served(hosts[0]) })
	wantOneOwner(t, c.audit)
}
