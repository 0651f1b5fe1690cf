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

// cluster is hosts in memory, one shard, and what its target runs. Host n is
// in domain n modulo domains.
type cluster struct {
	hosts []*host

	mutex   sync.Mutex
	way     route.Route
	changed chan struct{}
	lost    map[record.Incarnation]bool
	// silent lists hosts that no other reaches.
	silent map[record.Incarnation]bool
	// mute lists hosts whose answers to a witness call are lost.
	mute map[record.Incarnation]bool
	// recalled is called, if set, before a host's answer to a recall is passed on.
	recalled func(from record.Member)
	// runs and sends count by request id.
	runs, sends map[string]int
	// target answers a request; nil answers ok.
	target func(ctx context.Context, req *message.Request) (*message.Answer, *outcome.Error)
}

type host struct {
	member record.Member
	entry  *Ingress
	holder *Leaseholder
}

var errDown = errors.New("host is down")

func newCluster(t testing.TB, count, domains int) *cluster {
	c := &cluster{
		changed: make(chan struct{}),
		lost:    make(map[record.Incarnation]bool),
		silent:  make(map[record.Incarnation]bool),
		mute:    make(map[record.Incarnation]bool),
		runs:    make(map[string]int),
		sends:   make(map[string]int),
	}
	for i := range count {
		c.hosts = append(c.hosts, c.newHost(i, domains))
	}
	c.assign(0, 1, 1)
	t.Cleanup(func() {
		for _, host := range c.hosts {
			host.holder.Close()
		}
	})
	return c
}

func (c *cluster) newHost(i, domains int) *host {
	member := record.Member{
		Incarnation: record.Incarnation{Host: fmt.Sprint("host-", i), Run: 1},
		Domain:      fmt.Sprint("domain-", i%domains),
	}
	memory := dedup.New(clock.System{}, dedup.Options{})
	holder := &Leaseholder{
		Self: member, Clock: clock.System{}, Dedup: memory, Members: c.members,
		RouteShard: func(shard.ID) (route.Route, *outcome.Error) { return c.route() },
		Permit:     c.permit,
		Send:       c.send,
		Witness:    c.witness,
		QueryIDs: func(_ context.Context, to record.Member, ask message.IDQuery) (message.IDReply, error) {
			if !c.reachable(to.Incarnation) {
				return message.IDReply{}, errDown
			}
			recalled := c.host(to).holder.Dedup.RememberedIDs(member.Incarnation, ask)
			if c.recalled != nil {
				c.recalled(to)
			}
			return recalled, nil
		},
	}
	memory.Revoke = holder.RevokeWitness
	entry := &Ingress{
		Self: member, Clock: clock.System{}, Dedup: memory, Budget: retry.New(clock.System{}),
		Route:   func(string, string) (route.Route, *outcome.Error) { return c.route() },
		Changed: c.change,
		Local:   holder.Serve,
		Forward: func(ctx context.Context, to record.Member, req *message.Request) (*message.Answer, *outcome.Error) {
			if !c.reachable(to.Incarnation) {
				return nil, outcome.Refuse(outcome.HostUnreachable, "down", 0)
			}
			return c.host(to).holder.Serve(ctx, member, req)
		},
	}
	return &host{member: member, entry: entry, holder: holder}
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
func (c *cluster) assign(i int, epoch, term uint64) {
	c.assignTo(new(config.Service), i, epoch, term)
}

// assignTo does the same with a service of its own.
func (c *cluster) assignTo(service *config.Service, i int, epoch, term uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.way = route.Route{
		Service: service, Target: new(config.Target),
		Shard: shard.ID{Service: "payoutledger", Group: "all"}, Epoch: epoch, Term: term,
	}
	if i >= 0 {
		c.way.Leaseholder = c.hosts[i].member
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
	return !c.lost[incarnation] && !c.silent[incarnation]
}

func (c *cluster) route() (route.Route, *outcome.Error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.way.Leaseholder.Incarnation.Host == "" {
		return route.Route{Service: c.way.Service}, outcome.Refuse(outcome.NoOwner, "no owner", 0)
	}
	return c.way, nil
}

func (c *cluster) change() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

func (c *cluster) permit(shard.ID, uint64, string) (route.Permit, func(), *outcome.Error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return route.Permit{Epoch: c.way.Epoch, Term: c.way.Term, Until: time.Now().Add(time.Minute)}, func() {}, nil
}

func (c *cluster) witness(_ context.Context, to record.Member, ask message.Witness) (message.WitnessReply, error) {
	if !c.reachable(to.Incarnation) {
		return message.WitnessReply{}, errDown
	}
	answer, ok := c.host(to).holder.Dedup.Witness(ask)
	if !ok || c.isMute(to.Incarnation) {
		return answer, errDown
	}
	return answer, nil
}

func (c *cluster) isMute(incarnation record.Incarnation) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.mute[incarnation]
}

func (c *cluster) send(ctx context.Context, _ route.Permit, _ *config.Target, req *message.Request, _ bool) (*message.Answer, *outcome.Error) {
	c.mutex.Lock()
	c.sends[req.ID]++
	answer := c.target
	c.mutex.Unlock()
	if answer == nil {
		answer = c.answerOK
	}
	return answer(ctx, req)
}

func (c *cluster) setTarget(answer func(context.Context, *message.Request) (*message.Answer, *outcome.Error)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.target = answer
}

// answerOK runs a request.
func (c *cluster) answerOK(_ context.Context, req *message.Request) (*message.Answer, *outcome.Error) {
	c.run(req)
	return newAnswer("ok"), nil
}

// answerOnly answers without a count.
func (c *cluster) answerOnly(context.Context, *message.Request) (*message.Answer, *outcome.Error) {
	return newAnswer("ok"), nil
}

// answerLost runs a request and loses its answer.
func (c *cluster) answerLost(_ context.Context, req *message.Request) (*message.Answer, *outcome.Error) {
	c.run(req)
	return nil, outcome.UnknownError(outcome.TargetFailed, "connection closed")
}

func (c *cluster) answerShed(context.Context, *message.Request) (*message.Answer, *outcome.Error) {
	return nil, outcome.Refuse(outcome.Shed, "no slot", time.Millisecond)
}

func (c *cluster) run(req *message.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runs[req.ID]++
}

func newAnswer(body string) *message.Answer {
	return &message.Answer{
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
	answer, failure := c.hosts[i].entry.Handle(context.Background(), "payoutledger", "seller-1", req)
	if failure != nil {
		return "", failure
	}
	body, _ := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	return string(body), nil
}

// forward has host i remember that it passes a request on to host to.
func (c *cluster) forward(i int, req *message.Request, to int) *dedup.Claim {
	way, _ := c.route()
	req.Key = "seller-1"
	return c.hosts[i].entry.Dedup.Forward(onceRequest(way, req), c.hosts[to].member.Incarnation)
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
