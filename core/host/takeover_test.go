package host

import (
	"testing"
	"time"

	"pineturn/core/lease"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// testCluster has three hosts that have folded the same log: a is the
// leaseholder of t0, b and c are its deputies.
type testCluster struct {
	t       *testing.T
	now     time.Time
	seq     uint64
	records []message.Record
	a, b, c *Host
}

var (
	testTarget = record.Target{Service: "vault", Name: "t0"}
	testShard  = shard.ID{Service: "vault", Group: "all", Index: 0}
)

func newTestCluster(t *testing.T) *testCluster {
	cluster := &testCluster{t: t, now: time.Unix(1000, 0)}
	var members []record.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, record.Member{Incarnation: record.Incarnation{Host: name, Run: 1}, Domain: name})
	}
	cluster.a, cluster.b, cluster.c = New(members[0], Options{}, cluster.now), New(members[1], Options{}, cluster.now), New(members[2], Options{}, cluster.now)
	cluster.appendRecord(record.Op{Files: &record.Files{Changes: []record.FileChange{{Name: "a.yaml", Content: []byte(modelConfig)}}}})
	for i, member := range members {
		cluster.appendRecord(record.Op{Join: &record.Join{Member: member, Expect: uint64(i)}})
	}
	cluster.appendRecord(
		record.Op{Lead: &record.Lead{
			Target: testTarget, Leaseholder: members[0].Incarnation,
			Deputies: []record.Incarnation{members[1].Incarnation, members[2].Incarnation},
		}},
		record.Op{Assign: &record.Assign{Shard: testShard, Target: "t0"}},
	)
	for _, h := range []*Host{cluster.a, cluster.b, cluster.c} {
		cluster.readLog(h)
	}
	cluster.exchangeHeartbeats(cluster.a, cluster.b, cluster.c)
	return cluster
}

// appendRecord appends a record to the log. The hosts read it with readLog.
func (cluster *testCluster) appendRecord(ops ...record.Op) {
	cluster.t.Helper()
	cluster.seq++
	writer := record.Incarnation{Host: "operator", Run: 1}
	data, err := record.Encode(record.Batch{Version: 1, ID: record.ID{Writer: writer, Seq: cluster.seq}, Ops: ops})
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.records = append(cluster.records, message.Record{Offset: uint64(len(cluster.records)), Data: data})
}

// readLog makes a host read the log to its end.
func (cluster *testCluster) readLog(h *Host) {
	cluster.t.Helper()
	if _, err := h.Fold(cluster.records, cluster.now); err != nil {
		cluster.t.Fatal(err)
	}
	h.OnLogRead(h.Next(), cluster.now, cluster.now)
}

// exchangeHeartbeats makes the given hosts exchange heartbeats.
func (cluster *testCluster) exchangeHeartbeats(hosts ...*Host) {
	for _, sender := range hosts {
		for _, other := range hosts {
			if other != sender {
				sender.OnPong(other.OnPing(cluster.now), cluster.now, cluster.now)
			}
		}
	}
}

// loseLeaseholder advances the time by 2 s in which a does not reply and no
// host reads the log.
func (cluster *testCluster) loseLeaseholder() {
	for range 20 {
		cluster.now = cluster.now.Add(100 * time.Millisecond)
		cluster.exchangeHeartbeats(cluster.b, cluster.c)
	}
}

// requestedPromise returns the promise that b requests.
func (cluster *testCluster) requestedPromise() message.Promise {
	cluster.t.Helper()
	candidacies := cluster.b.Candidacies(cluster.now)
	if len(candidacies) != 1 {
		cluster.t.Fatalf("got %d candidacies, want 1", len(candidacies))
	}
	return candidacies[0]
}

func wantPromise(t *testing.T, h *Host, request message.Promise, now time.Time, want bool) {
	t.Helper()
	if got := h.OnPromise(request, now).Made; got != want {
		t.Errorf("promise made: got %v, want %v", got, want)
	}
}

// TestPromises guards against takeovers that are not necessary or not safe: promises that are
// made while the log or the leaseholder responds, for another term, or to a deputy that has
// folded less of the log.
func TestPromises(t *testing.T) {
	t.Run("made while the log is down and the leaseholder lost", func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.loseLeaseholder()
		request := cluster.requestedPromise()
		wantPromise(t, cluster.c, request, cluster.now, true)
		if !cluster.b.OnPromiseReply(cluster.c.Self().Incarnation, request, message.PromiseReply{Made: true}, cluster.now) {
			t.Errorf("got no takeover with the promises of a majority, want one")
		}
	})
	t.Run("not requested while the leaseholder replies", func(t *testing.T) {
		cluster := newTestCluster(t)
		for range 20 {
			cluster.now = cluster.now.Add(100 * time.Millisecond)
			cluster.exchangeHeartbeats(cluster.a, cluster.b, cluster.c)
		}
		if got := cluster.b.Candidacies(cluster.now); len(got) != 0 {
			t.Errorf("got candidacies %v, want none", got)
		}
	})
	t.Run("refused by a host that reads the log", func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.loseLeaseholder()
		request := cluster.requestedPromise()
		cluster.readLog(cluster.c)
		wantPromise(t, cluster.c, request, cluster.now, false)
	})
	t.Run("refused by a host that the leaseholder replies to", func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.loseLeaseholder()
		request := cluster.requestedPromise()
		cluster.exchangeHeartbeats(cluster.a, cluster.c)
		wantPromise(t, cluster.c, request, cluster.now, false)
	})
	t.Run("refused to a deputy that has folded less of the log", func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.appendRecord(record.Op{Assign: &record.Assign{Shard: testShard, Target: "t1", Expect: 1}})
		cluster.readLog(cluster.c)
		cluster.loseLeaseholder()
		wantPromise(t, cluster.c, cluster.requestedPromise(), cluster.now, false)
	})
	t.Run("refused for another term", func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.loseLeaseholder()
		request := cluster.requestedPromise()
		request.Term++
		wantPromise(t, cluster.c, request, cluster.now, false)
	})
}

// TestPromisedHostsConfirmNoLowerLevel guards against two leaseholders of a target: after a
// majority has made a promise to a deputy, the former leaseholder gets no confirmation.
func TestPromisedHostsConfirmNoLowerLevel(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.loseLeaseholder()
	wantPromise(t, cluster.c, cluster.requestedPromise(), cluster.now, true)
	before := cluster.a.Leases().FreshUntil(testTarget)
	cluster.exchangeHeartbeats(cluster.a, cluster.b, cluster.c)
	if got := cluster.a.Leases().FreshUntil(testTarget); got.After(before) {
		t.Errorf("got the former leaseholder confirmed until %v, want no later than %v", got, before)
	}
}

// TestHeldTargetCountExcludesTakenOverTargets guards against a host that waits for the handover
// of targets that a deputy has already taken over.
func TestHeldTargetCountExcludesTakenOverTargets(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.loseLeaseholder()
	if got, want := cluster.a.HeldTargetCount(), 1; got != want {
		t.Errorf("held targets before the takeover: got %d, want %d", got, want)
	}
	wantPromise(t, cluster.c, cluster.requestedPromise(), cluster.now, true)
	cluster.exchangeHeartbeats(cluster.a, cluster.b, cluster.c)
	if got, want := cluster.a.HeldTargetCount(), 0; got != want {
		t.Errorf("held targets after the takeover: got %d, want %d", got, want)
	}
}

// moveShardAway makes a fold a move of the shard to t1 and records that t0
// accepted a set without the shard. It returns the release query for the
// shard.
func (cluster *testCluster) moveShardAway() message.ReleaseQuery {
	cluster.t.Helper()
	cluster.appendRecord(record.Op{Assign: &record.Assign{Shard: testShard, Target: "t1", Expect: 1}})
	cluster.readLog(cluster.a)
	for range 3 {
		cluster.now = cluster.now.Add(lease.DefaultRenewalInterval)
		cluster.a.Leases().RecordFreshness(testTarget, cluster.now)
		orders, _ := cluster.a.DueMessages(cluster.now)
		for _, order := range orders {
			response := lease.Response{Incarnation: "i", ClockUs: 1, Health: "ok", SetVersion: order.SetVersion}
			cluster.a.Leases().RecordResponse(order, response, cluster.now, cluster.now)
		}
	}
	return message.ReleaseQuery{Target: testTarget, Next: cluster.a.Next(), Shards: []shard.ID{testShard}}
}

// TestReleases guards against two owners of a shard: a release that is reported before a
// majority has folded the move, or after a majority has made a promise to a deputy, could be
// undone by a deputy.
func TestReleases(t *testing.T) {
	wantReleased := func(t *testing.T, cluster *testCluster, query message.ReleaseQuery, want bool) {
		t.Helper()
		if got := len(cluster.a.OnRelease(query, cluster.now).Shards) == 1; got != want {
			t.Errorf("released: got %v, want %v", got, want)
		}
	}
	t.Run("not before a majority has folded the move", func(t *testing.T) {
		cluster := newTestCluster(t)
		query := cluster.moveShardAway()
		wantReleased(t, cluster, query, false)
		cluster.readLog(cluster.b)
		cluster.exchangeHeartbeats(cluster.a, cluster.b)
		wantReleased(t, cluster, query, true)
	})
	t.Run("not after a majority has made a promise to a deputy", func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.loseLeaseholder()
		wantPromise(t, cluster.c, cluster.requestedPromise(), cluster.now, true)
		query := cluster.moveShardAway()
		cluster.readLog(cluster.b)
		cluster.readLog(cluster.c)
		cluster.exchangeHeartbeats(cluster.a, cluster.b, cluster.c)
		wantReleased(t, cluster, query, false)
	})
	t.Run("not by counting hosts whose processes have ended", func(t *testing.T) {
		cluster := newTestCluster(t)
		query := cluster.moveShardAway()
		cluster.a.OnReplaced(cluster.b.Self().Incarnation, cluster.now)
		cluster.a.OnReplaced(cluster.c.Self().Incarnation, cluster.now)
		wantReleased(t, cluster, query, false)
	})
}
