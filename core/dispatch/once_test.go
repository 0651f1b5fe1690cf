package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pineturn/core/dedup"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
)

func TestOnce(t *testing.T) {
	t.Run("retry at another host while the first is in flight", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		sent, free := make(chan struct{}), make(chan struct{})
		c.target = func(ctx context.Context, req *message.Request) (*message.Answer, *outcome.Error) {
			close(sent)
			<-free
			return c.answerOK(ctx, req)
		}
		first := make(chan *outcome.Error, 1)
		go func() {
			_, failure := c.handle(1, payout("r1"))
			first <- failure
		}()
		<-sent
		_, failure := c.handle(2, payout("r1"))
		checkFailure(t, failure, outcome.Unknown, outcome.Duplicate)
		close(free)
		if failure := <-first; failure != nil {
			t.Errorf("got %v, want an answer", failure)
		}
		body, failure := c.handle(2, payout("r1"))
		checkOK(t, body, failure)
		c.checkRuns(t, 1)
	})
	for entry, name := range []string{"sent by the leaseholder itself", "sent through another host"} {
		t.Run("leaseholder lost, "+name, func(t *testing.T) {
			c := newCluster(t, 4, 4)
			c.target = c.answerLost
			_, failure := c.handle(entry, payout("r1"))
			checkFailure(t, failure, outcome.Unknown, outcome.TargetFailed)
			c.lose(0)
			c.assign(2, 1, 2)
			_, failure = c.handle(3, payout("r1"))
			checkFailure(t, failure, outcome.Unknown, outcome.Duplicate)
			c.checkRuns(t, 1)
		})
	}
	t.Run("witnesses told without an answer, then another leaseholder", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.mute[c.hosts[1].member.Incarnation] = true
		c.mute[c.hosts[2].member.Incarnation] = true
		_, failure := c.handle(0, payout("r1"))
		checkFailure(t, failure, outcome.NotRun, outcome.HostUnreachable)
		c.hosts[0].holder.background.Wait()
		c.assign(1, 1, 2)
		body, failure := c.handle(2, payout("r1"))
		checkOK(t, body, failure)
		c.checkRuns(t, 1)
	})
	t.Run("id handed on by repair, then not run", func(t *testing.T) {
		c := newCluster(t, 4, 4)
		forwarded := c.forward(1, payout("r1"), 3)
		c.lose(3)
		if got := c.hosts[1].holder.RepairReplicas(context.Background()); got != 0 {
			t.Errorf("got %d ids not repaired, want 0", got)
		}
		forwarded.Finish(outcome.NotRun, nil)
		c.hosts[1].holder.background.Wait()
		body, failure := c.handle(1, payout("r1"))
		checkOK(t, body, failure)
		c.checkRuns(t, 1)
	})
	t.Run("hosts asked for another id while an attempt elsewhere was under way", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.assign(2, 1, 2)
		// Both requests have a slot at the same time.
		c.way.Target, _ = limited(t).Target("p1")
		ids := []string{"r0", "r1"}
		elsewhere := make([]*dedup.Claim, len(ids))
		for i, id := range ids {
			elsewhere[i] = c.forward(1, payout(id), 0)
		}
		body, failure := c.handle(2, payout("first"))
		checkOK(t, body, failure)
		told, free := make(chan struct{}), make(chan struct{})
		var asked sync.Once
		c.recalled = func(from record.Member) {
			if from.Incarnation == c.hosts[1].member.Incarnation {
				asked.Do(func() { close(told) })
			}
			<-free
		}
		elsewhere[0].Finish(outcome.NotRun, nil)
		first := make(chan *outcome.Error, 1)
		go func() {
			_, failure := c.handle(1, payout(ids[0]))
			first <- failure
		}()
		<-told
		elsewhere[1].Finish(outcome.NotRun, nil)
		time.AfterFunc(50*time.Millisecond, func() { close(free) })
		body, failure = c.handle(1, payout(ids[1]))
		checkOK(t, body, failure)
		if failure := <-first; failure != nil {
			t.Errorf("got %v, want an answer", failure)
		}
		c.checkRuns(t, 1)
	})
	t.Run("entry stops in order, then the leaseholder is lost", func(t *testing.T) {
		c := newCluster(t, 4, 4)
		c.target = c.answerLost
		_, _ = c.handle(1, payout("r1"))
		if got := c.hosts[1].holder.ReplicateIDs(context.Background()); got != 0 {
			t.Errorf("got %d ids not handed over, want 0", got)
		}
		c.lose(1)
		c.lose(0)
		c.assign(2, 1, 2)
		_, failure := c.handle(3, payout("r1"))
		checkFailure(t, failure, outcome.Unknown, outcome.Duplicate)
		c.checkRuns(t, 1)
	})
	t.Run("shard moved to another target", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.target = c.answerLost
		_, _ = c.handle(1, payout("r1"))
		c.assign(2, 2, 9)
		_, failure := c.handle(2, payout("r1"))
		checkFailure(t, failure, outcome.Unknown, outcome.Duplicate)
		c.checkRuns(t, 1)
	})
	t.Run("id used for another request", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		body, failure := c.handle(1, payout("r1"))
		checkOK(t, body, failure)
		other := payout("r1")
		other.Body = []byte("another caller's")
		_, failure = c.handle(2, other)
		checkFailure(t, failure, outcome.NotRun, outcome.BadRequest)
		c.checkRuns(t, 1)
	})
	t.Run("not run is free again", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.target = c.answerShed
		_, failure := c.handle(1, payout("r1"))
		checkFailure(t, failure, outcome.NotRun, outcome.Shed)
		c.target = nil
		c.assign(2, 1, 2)
		body, failure := c.handle(0, payout("r1"))
		checkOK(t, body, failure)
	})
	t.Run("in flight when collected, then not run", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		claim := c.hosts[1].entry.Dedup.Forward(onceRequest(c.way, payout("r1")), c.hosts[0].member.Incarnation)
		c.assign(2, 1, 2)
		_, failure := c.handle(2, payout("r1"))
		checkFailure(t, failure, outcome.Unknown, outcome.Duplicate)
		claim.Finish(outcome.NotRun, nil)
		body, failure := c.handle(2, payout("r1"))
		checkOK(t, body, failure)
	})
	t.Run("hosts of two domains silent", func(t *testing.T) {
		c := newCluster(t, 4, 4)
		c.silent[c.hosts[2].member.Incarnation], c.silent[c.hosts[3].member.Incarnation] = true, true
		c.hosts[1].entry.Wait = 50 * time.Millisecond
		_, failure := c.handle(1, payout("r1"))
		checkFailure(t, failure, outcome.NotRun, outcome.NotReady)
		c.checkRuns(t, 0)
	})
	t.Run("collects without a slot", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.hosts[1].entry.Wait = 20 * time.Second
		asked, free := make(chan struct{}, 1), make(chan struct{})
		inner := c.hosts[0].holder.QueryIDs
		c.hosts[0].holder.QueryIDs = func(ctx context.Context, to record.Member, ask message.IDQuery) (message.IDReply, error) {
			select {
			case asked <- struct{}{}:
			default:
			}
			<-free
			return inner(ctx, to, ask)
		}
		ended := make(chan *outcome.Error, 1)
		go func() {
			_, failure := c.handle(1, payout("r1"))
			ended <- failure
		}()
		<-asked
		for _, load := range c.hosts[0].holder.QueueLoads() {
			if load.Running != 0 {
				t.Errorf("got %d slots taken, want none", load.Running)
			}
		}
		close(free)
		if failure := <-ended; failure != nil {
			t.Errorf("got %v, want an answer", failure)
		}
	})
	t.Run("no witness", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		_, _ = c.handle(0, payout("r0"))
		c.silent[c.hosts[1].member.Incarnation], c.silent[c.hosts[2].member.Incarnation] = true, true
		c.hosts[0].entry.Wait = 50 * time.Millisecond
		_, failure := c.handle(0, payout("r1"))
		checkFailure(t, failure, outcome.NotRun, outcome.HostUnreachable)
		c.checkRuns(t, 0)
	})
}

// No interleaving of callers' retries, moves, takeovers, and losses and stops
// of one host at a time runs a request twice, or one that was reported as not
// run.
func TestOnceProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const hosts = 5
		c := newCluster(t, hosts, rapid.IntRange(2, hosts).Draw(r, "domains"))
		epoch, term := uint64(1), uint64(1)
		uncertain := make(map[string]bool)
		for range rapid.IntRange(4, 40).Draw(r, "steps") {
			at := rapid.IntRange(0, hosts-1).Draw(r, "host")
			if !c.reachable(c.hosts[at].member.Incarnation) {
				continue
			}
			switch step := rapid.IntRange(0, 7).Draw(r, "step"); step {
			case 0:
				term++
				c.assign(at, epoch, term)
			case 1:
				epoch, term = epoch+1, term+1
				c.assign(at, epoch, term)
			case 2, 3:
				if len(c.members()) > 2 {
					term++
					c.remove(at, step == 2, epoch, term)
				}
			default:
				id := fmt.Sprint("r", rapid.IntRange(0, 1).Draw(r, "id"))
				c.target = rapid.SampledFrom([]func(context.Context, *message.Request) (*message.Answer, *outcome.Error){
					c.answerLost, c.answerLost, c.answerOK, c.answerShed,
				}).Draw(r, "answer")
				_, failure := c.handle(at, payout(id))
				if failure == nil || failure.Outcome != outcome.NotRun {
					uncertain[id] = true
				}
				if c.runs[id] > 1 || (c.runs[id] > 0 && !uncertain[id]) {
					r.Fatalf("request %s: got %d runs, reported run %v, want at most 1, as reported", id, c.runs[id], uncertain[id])
				}
			}
		}
	})
}

// remove takes a host out, after it handed over its ids if it stops in order;
// the others repair, and one of them becomes the leaseholder.
func (c *cluster) remove(i int, inOrder bool, epoch, term uint64) {
	if inOrder {
		c.hosts[i].holder.ReplicateIDs(context.Background())
	}
	c.lose(i)
	next := -1
	for other, host := range c.hosts {
		if c.reachable(host.member.Incarnation) {
			host.holder.RepairReplicas(context.Background())
			next = other
		}
	}
	c.assign(next, epoch, term)
}
