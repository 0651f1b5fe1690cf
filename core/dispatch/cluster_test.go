package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/config"
	"pineturn/core/dedup"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/retry"
	"pineturn/core/route"
	"pineturn/core/shard"
)

// cluster simulates hosts, one shard and its target in memory. Host n is in failure
// domain n modulo domains.
type cluster struct {
	hosts []*host

	mutex   sync.Mutex
	current route.Route
	changed chan struct{}
	lost    map[record.Incarnation]bool
	// unreachable holds the hosts that no other host can reach.
	unreachable map[record.Incarnation]bool
	// lostReplies holds the hosts whose replies to Witness calls are lost.
	lostReplies map[record.Incarnation]bool
	// onQueryReply is called, if set, before a host's reply to a query for ids is
	// returned.
	onQueryReply func(from record.Member)
	// runs and sends count the runs and the sends to the target by request id.
	runs, sends map[string]int
	// target responds to a request. Nil selects respondOK.
	target func(ctx context.Context, req *message.Request) (*message.Response, *outcome.Error)
}

type host struct {
	member      record.Member
	ingress     *Ingress
	leaseholder *Leaseholder
}

var errDown = errors.New("host is down")

func newCluster(t testing.TB, count, domains int) *cluster {
	c := &cluster{
		changed:     make(chan struct{}),
		lost:        make(map[record.Incarnation]bool),
		unreachable: make(map[record.Incarnation]bool),
		lostReplies: make(map[record.Incarnation]bool),
		runs:        make(map[string]int),
		sends:       make(map[string]int),
	}
	for i := range count {
		c.hosts = append(c.hosts, c.newHost(i, domains))
	}
	c.assign(0, 1, 1)
	t.Cleanup(func() {
		for _, host := range c.hosts {
			host.leaseholder.Close()
		}
	})
	return c
}

func (c *cluster) newHost(i, domains int) *host {
	member := record.Member{
		Incarnation: record.Incarnation{Host: fmt.Sprint("host-", i), Run: 1},
		Domain:      fmt.Sprint("domain-", i%domains),
	}
	table := dedup.New(clock.System{}, dedup.Options{})
	leaseholder := &Leaseholder{
		Self: member, Clock: clock.System{}, Dedup: table, Members: c.members,
		RouteShard: func(shard.ID) (route.Route, *outcome.Error) { return c.route() },
		Permit:     c.permit,
		Send:       c.send,
		Witness:    c.witness,
		QueryIDs: func(_ context.Context, to record.Member, query message.IDQuery) (message.IDReply, error) {
			if !c.reachable(to.Incarnation) {
				return message.IDReply{}, errDown
			}
			reply := c.host(to).leaseholder.Dedup.RememberedIDs(member.Incarnation, query)
			if c.onQueryReply != nil {
				c.onQueryReply(to)
			}
			return reply, nil
		},
	}
	table.Revoke = leaseholder.RevokeWitness
	ingress := &Ingress{
		Self: member, Clock: clock.System{}, Dedup: table, Budget: retry.New(clock.System{}),
		Route:   func(string, string) (route.Route, *outcome.Error) { return c.route() },
		Changed: c.change,
		Local:   leaseholder.Serve,
		Forward: func(ctx context.Context, to record.Member, req *message.Request) (*message.Response, *outcome.Error) {
			if !c.reachable(to.Incarnation) {
				return nil, outcome.Refuse(outcome.HostUnreachable, "down", 0)
			}
			return c.host(to).leaseholder.Serve(ctx, member, req)
		},
	}
	return &host{member: member, ingress: ingress, leaseholder: leaseholder}
}

func (c *cluster) host(member record.Member) *host {
	for _, host := range c.hosts {
		if host.member.Incarnation == member.Incarnation {
			return host
		}
	}
	return nil
}

// assign makes host i the leaseholder; -1 leaves the shard without an owner.
func (c *cluster) assign(i int, epoch, token uint64) {
	c.assignTo(defaultService, i, epoch, token)
}

// defaultService is the service of clusters that are given no other one.
var defaultService = newService("10s")

// newService returns a service with a timeout and the defaults of a configuration. It has
// no group "all", so that the clusters' only shard holds all keys.
func newService(timeout string) *config.Service {
	merged, faults := config.Merge(1, []config.File{{Name: "10.yaml", Content: []byte(`services:
  payoutledger:
    timeout: ` + timeout + `
    targets:
      p1: {address: "127.0.0.1:9001", domain: pos-a, slots: 2, connections: 100}
    groups:
      every: {keys: "*"}
`)}})
	if len(faults) > 0 {
		panic(faults)
	}
	service, _ := merged.Service("payoutledger")
	return service
}

// assignTo does the same as assign, with the given service.
func (c *cluster) assignTo(service *config.Service, i int, epoch, token uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.current = route.Route{
		Service: service, Target: new(config.Target),
		Shard: shard.ID{Service: "payoutledger", Group: "all"}, Epoch: epoch, Token: token,
	}
	if i >= 0 {
		c.current.Leaseholder = c.hosts[i].member
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// lose removes host i from the membership.
func (c *cluster) lose(i int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lost[c.hosts[i].member.Incarnation] = true
}

func (c *cluster) members() []record.Member {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var live []record.Member
	for _, host := range c.hosts {
		if !c.lost[host.member.Incarnation] {
			live = append(live, host.member)
		}
	}
	return live
}

func (c *cluster) reachable(incarnation record.Incarnation) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.lost[incarnation] && !c.unreachable[incarnation]
}

func (c *cluster) route() (route.Route, *outcome.Error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current.Leaseholder.Incarnation.Host == "" {
		return route.Route{Service: c.current.Service}, outcome.Refuse(outcome.NoOwner, "no owner", 0)
	}
	return c.current, nil
}

func (c *cluster) change() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

func (c *cluster) permit(shard.ID, uint64, string) (route.Permit, func(), *outcome.Error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return route.Permit{Epoch: c.current.Epoch, Token: c.current.Token, Until: time.Now().Add(time.Minute)}, func() {}, nil
}

func (c *cluster) witness(_ context.Context, to record.Member, witness message.Witness) (message.WitnessReply, error) {
	if !c.reachable(to.Incarnation) {
		return message.WitnessReply{}, errDown
	}
	reply, ok := c.host(to).leaseholder.Dedup.Witness(witness)
	if !ok || c.losesReplies(to.Incarnation) {
		return reply, errDown
	}
	return reply, nil
}

func (c *cluster) losesReplies(incarnation record.Incarnation) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lostReplies[incarnation]
}

func (c *cluster) send(ctx context.Context, _ route.Permit, _ *config.Target, req *message.Request, _ bool) (*message.Response, *outcome.Error) {
	c.mutex.Lock()
	c.sends[req.ID]++
	respond := c.target
	c.mutex.Unlock()
	if respond == nil {
		respond = c.respondOK
	}
	return respond(ctx, req)
}

func (c *cluster) setTarget(respond func(context.Context, *message.Request) (*message.Response, *outcome.Error)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.target = respond
}

// respondOK counts a run and responds ok.
func (c *cluster) respondOK(_ context.Context, req *message.Request) (*message.Response, *outcome.Error) {
	c.run(req)
	return newResponse("ok"), nil
}

// respondUncounted responds to a request without counting the run.
func (c *cluster) respondUncounted(context.Context, *message.Request) (*message.Response, *outcome.Error) {
	return newResponse("ok"), nil
}

// loseResponse counts a run and reports that the response was lost.
func (c *cluster) loseResponse(_ context.Context, req *message.Request) (*message.Response, *outcome.Error) {
	c.run(req)
	return nil, outcome.UnknownError(outcome.TargetFailed, "connection closed")
}

func (c *cluster) respondShed(context.Context, *message.Request) (*message.Response, *outcome.Error) {
	return nil, outcome.Refuse(outcome.Shed, "no slot", time.Millisecond)
}

func (c *cluster) run(req *message.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runs[req.ID]++
}

func newResponse(body string) *message.Response {
	return &message.Response{
		Head: message.Head{Status: 200, Header: map[string][]string{"Content-Length": {strconv.Itoa(len(body))}}},
		Body: io.NopCloser(bytes.NewReader([]byte(body))),
	}
}

// payout is a request that must not be repeated.
func payout(id string) *message.Request {
	return &message.Request{ID: id, Method: "POST", Path: "/payouts", Once: true, Left: 30 * time.Second}
}

func read(id string) *message.Request {
	return &message.Request{ID: id, Method: "GET", Path: "/cover", Left: 30 * time.Second}
}

func (c *cluster) handle(i int, req *message.Request) (string, *outcome.Error) {
	response, failure := c.hosts[i].ingress.Handle(context.Background(), "payoutledger", "seller-1", req)
	if failure != nil {
		return "", failure
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(body), nil
}

// forward records at host i that a request is being forwarded to host to.
func (c *cluster) forward(i int, req *message.Request, to int) *dedup.Claim {
	rt, _ := c.route()
	req.Key = "seller-1"
	return c.hosts[i].ingress.Dedup.Forward(dedupRequest(rt, req), c.hosts[to].member.Incarnation)
}

func (c *cluster) checkRuns(t *testing.T, want int) {
	t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if got := c.runs["r1"]; got != want {
		t.Errorf("request r1: got %d runs, want %d", got, want)
	}
}

func checkOK(t *testing.T, body string, failure *outcome.Error) {
	t.Helper()
	if failure != nil || body != "ok" {
		t.Errorf("got %q, %v, want ok", body, failure)
	}
}

func checkFailure(t *testing.T, got *outcome.Error, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	if got == nil || got.Outcome != want || got.Reason != reason {
		t.Errorf("got %v, want %v %s", got, want, reason)
	}
}
