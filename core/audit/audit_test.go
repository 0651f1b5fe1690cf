package audit_test

import (
	"errors"
	"testing"
	"time"

	"pineturn/core/audit"
	"pineturn/core/shard"
)

// script builds the audit of one target. Its times are in milliseconds. The
// target's clock starts at the wall time 0, so that both clock readings of an
// entry are the same.
type script struct {
	name        string
	incarnation string
	entries     []audit.Entry
}

func target(name string) *script { return &script{name: name, incarnation: "i1"} }

func (s *script) add(at int64, kind audit.Kind, grant *audit.Grant, request *audit.Request) *script {
	s.entries = append(s.entries, audit.Entry{
		Kind: kind, WallNs: at * 1e6, ClockUs: at * 1e3, Service: "payoutledger", Target: s.name,
		Incarnation: s.incarnation, Grant: grant, Request: request,
	})
	return s
}

func (s *script) grant(at, expires int64, shards ...audit.Shard) *script {
	return s.add(at, audit.Granted, &audit.Grant{ExpiresUs: expires * 1e3, Shards: shards}, nil)
}

func (s *script) renew(at, expires int64) *script {
	return s.add(at, audit.Granted, &audit.Grant{ExpiresUs: expires * 1e3, Renew: true}, nil)
}

func (s *script) released(at int64, shards ...audit.Shard) *script {
	return s.add(at, audit.Released, &audit.Grant{Shards: shards}, nil)
}

func (s *script) expired(at int64) *script {
	return s.add(at, audit.Expired, &audit.Grant{}, nil)
}

// run adds a run of a request for key k, which is in range shard 1.
func (s *script) run(id string, from, to int64) *script { return s.runOf(id, "k", shard1, from, to) }

func (s *script) runOf(id, key string, of audit.Shard, from, to int64) *script {
	request := audit.Request{Run: uint64(len(s.entries)), ID: id, Key: key, Shard: of.Shard.String()}
	s.add(from, audit.Began, nil, &request)
	ended := request
	ended.Completed = true
	return s.add(to, audit.Ended, nil, &ended)
}

// drained adds the start of a drain at 100 ms.
func (s *script) drained() *script { return s.add(100, audit.DrainBegan, nil, nil) }

func (s *script) refused(id, reason string, at int64) *script {
	return s.add(at, audit.Refused, nil, &audit.Request{ID: id, Key: "k", Shard: shard1.Shard.String(), Reason: reason})
}

// restarted starts a new incarnation.
func (s *script) restarted(at int64) *script {
	s.incarnation += "+"
	return s.add(at, audit.Started, nil, nil)
}

func shardAt(epoch uint64, key string, except ...string) audit.Shard {
	id := shard.ID{Service: "payoutledger", Group: "all", Index: 1, Key: key}
	return audit.Shard{Shard: id, Epoch: epoch, Except: except}
}

var (
	shard1          = shardAt(5, "")
	shard1Later     = shardAt(6, "")
	shard1ExceptHot = shardAt(6, "", "hot")
	hotShard        = shardAt(7, "hot")
	earlySentNs     = int64(1)
)

// record returns a record of request r1 with the outcome done and a correct
// response, modified by change.
func record(change func(*audit.Record)) audit.Record {
	result := audit.Record{
		ID: "r1", Service: "payoutledger", Key: "k", Outcome: "done", SentNs: earlySentNs, BodyOK: true,
		BodyID: "r1", BodyKey: "k", Bytes: 10, WantBytes: 10,
	}
	change(&result)
	return result
}

func withOutcome(outcome string) func(*audit.Record) {
	return func(r *audit.Record) { r.Outcome = outcome }
}

func check(scripts []*script, records []audit.Record) (audit.Report, error) {
	var files []audit.File
	for i, s := range scripts {
		files = append(files, audit.File{Name: s.name + string(rune('0'+i)), Entries: s.entries})
	}
	return audit.Check(files, records, audit.DrainBound)
}

// assertFound asserts that the audit has exactly the problems in want, in this
// order.
func assertFound(t *testing.T, scripts []*script, records []audit.Record, want ...audit.Problem) {
	t.Helper()
	report, err := check(scripts, records)
	if err != nil {
		t.Fatalf("got error %v, want %v", err, want)
	}
	if len(report.Findings) != len(want) {
		t.Fatalf("got %+v, want %v", report.Findings, want)
	}
	for i, finding := range report.Findings {
		if finding.Problem != want[i] {
			t.Errorf("got %+v, want %s", finding, want[i])
		}
	}
}

func TestOwnership(t *testing.T) {
	cases := map[string]struct {
		scripts []*script
		want    []audit.Problem
	}{
		"released, then granted": {[]*script{
			target("a").grant(0, 1000, shard1).released(500, shard1).grant(500, 1000),
			target("b").grant(500, 1500, shard1Later).run("r1", 600, 700),
		}, nil},
		"expired, then granted": {[]*script{
			target("a").grant(0, 500, shard1).renew(300, 800),
			target("b").grant(800, 1500, shard1Later).run("r1", 900, 901),
		}, nil},
		"expired while frozen, detected late": {[]*script{
			target("a").grant(0, 500, shard1).expired(500).refused("r1", "not-owner", 2000),
			target("b").grant(500, 1500, shard1Later).run("r1", 600, 700),
		}, nil},
		"lost by a restart, then granted": {[]*script{
			target("a").grant(0, 5000, shard1).restarted(100),
			target("b").grant(200, 1500, shard1Later).run("r1", 300, 400),
		}, nil},
		"hot key on another target": {[]*script{
			target("a").grant(0, 1000, shard1ExceptHot).run("r1", 10, 20),
			target("b").grant(0, 1000, hotShard).runOf("r2", "hot", hotShard, 10, 20),
		}, nil},
		"hot key split off during a run": {[]*script{
			target("a").grant(0, 1000, shard1).grant(15, 1000, shard1ExceptHot, hotShard).runOf("r2", "hot", hotShard, 20, 30),
		}, nil},
		"second granted before the first expired": {[]*script{
			target("a").grant(0, 500, shard1).renew(300, 800).expired(800),
			target("b").grant(799, 1500, shard1Later).run("r1", 900, 901),
		}, []audit.Problem{audit.TwoOwners}},
		"second granted before the first released": {[]*script{
			target("a").grant(0, 1000, shard1).grant(500, 1000),
			target("b").grant(400, 1500, shard1Later).run("r1", 600, 700),
		}, []audit.Problem{audit.TwoOwners}},
		"two targets with the same name": {[]*script{
			target("a").grant(0, 1000, shard1),
			target("a").grant(400, 1500, shard1).run("r1", 600, 700),
		}, []audit.Problem{audit.TwoOwners}},
		"hot key not excluded from the range shard": {[]*script{
			target("a").grant(0, 1000, shard1),
			target("b").grant(100, 1000, hotShard).runOf("r2", "hot", hotShard, 110, 120),
		}, []audit.Problem{audit.TwoOwners}},
		"grant expired during a run": {[]*script{
			target("a").grant(0, 500, shard1).run("r1", 400, 600),
		}, []audit.Problem{audit.OutsideGrant}},
		"run without a grant": {[]*script{
			target("a").grant(0, 500).run("r1", 400, 450),
		}, []audit.Problem{audit.OutsideGrant}},
		"run of an excluded key": {[]*script{
			target("a").grant(0, 500, shard1ExceptHot).runOf("r1", "hot", shard1ExceptHot, 400, 450),
		}, []audit.Problem{audit.OutsideGrant}},
		"concurrent runs of a key by two targets": {[]*script{
			target("a").grant(0, 500, shard1).run("r1", 400, 600),
			target("b").grant(500, 900, shard1Later).run("r2", 550, 560),
		}, []audit.Problem{audit.OutsideGrant, audit.TwoOwners}},
		"assignment reverted": {[]*script{
			target("a").grant(0, 100, shard1).run("r1", 10, 20).expired(100).grant(600, 900, shard1),
			target("b").grant(100, 500, shard1Later),
		}, []audit.Problem{audit.EpochReverted}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assertFound(t, c.scripts, nil, c.want...) })
	}
}

func TestRequests(t *testing.T) {
	owner := func() *script { return target("a").grant(0, 90000, shard1) }
	once := func(r *audit.Record) { r.Once = true }
	late := func(r *audit.Record) { r.Outcome, r.SentNs = "not-run", 50e6 }
	cases := map[string]struct {
		script  *script
		records []audit.Record
		want    []audit.Problem
	}{
		"done":             {owner().run("r1", 10, 20), []audit.Record{record(once)}, nil},
		"unknown":          {owner().run("r1", 10, 20), []audit.Record{record(withOutcome("unknown"))}, nil},
		"not run":          {owner().run("r2", 10, 20), []audit.Record{record(withOutcome("not-run"))}, nil},
		"unknown, refused": {owner().run("r1", 10, 20), []audit.Record{record(withOutcome("unknown")), record(late)}, nil},
		"repeated":         {owner().run("r1", 10, 20).run("r1", 30, 40), []audit.Record{record(func(*audit.Record) {})}, nil},
		"run twice": {
			owner().run("r1", 10, 20).run("r1", 30, 40), []audit.Record{record(once)}, []audit.Problem{audit.RunTwice},
		},
		"not run but ran": {
			owner().run("r1", 10, 20), []audit.Record{record(withOutcome("not-run"))}, []audit.Problem{audit.NotRunButRan},
		},
		"not run but ran before the next attempt": {
			owner().run("r1", 10, 20).run("r1", 60, 70),
			[]audit.Record{record(withOutcome("not-run")), record(func(r *audit.Record) { r.SentNs = 55e6 })},
			[]audit.Problem{audit.NotRunButRan},
		},
		"done without a run": {
			owner().run("r2", 10, 20), []audit.Record{record(once)}, []audit.Problem{audit.DoneWithoutRun},
		},
		"same id in two services": {
			owner().run("r1", 10, 20).run("r1", 30, 40), []audit.Record{
				record(func(*audit.Record) {}), record(func(r *audit.Record) { r.Service, r.Once = "coverdesk", true }),
			}, nil,
		},
		"response to another request": {
			owner().run("r1", 10, 20), []audit.Record{record(func(r *audit.Record) { r.BodyID = "r9" })},
			[]audit.Problem{audit.ResponseMismatch},
		},
		"response for another key": {
			owner().run("r1", 10, 20), []audit.Record{record(func(r *audit.Record) { r.BodyKey = "k9" })},
			[]audit.Problem{audit.ResponseMismatch},
		},
		"response truncated": {
			owner().run("r1", 10, 20), []audit.Record{record(func(r *audit.Record) { r.Bytes = 9 })},
			[]audit.Problem{audit.ResponseTruncated},
		},
		"response too long": {
			owner().run("r1", 10, 20), []audit.Record{record(func(r *audit.Record) { r.Bytes = 11 })},
			[]audit.Problem{audit.ResponseInvalid},
		},
		"response wrong": {
			owner().run("r1", 10, 20), []audit.Record{record(func(r *audit.Record) { r.BodyOK = false })},
			[]audit.Problem{audit.ResponseInvalid},
		},
		"response without an id": {
			owner().run("r1", 10, 20), []audit.Record{record(func(r *audit.Record) { r.BodyID = "" })},
			[]audit.Problem{audit.ResponseInvalid},
		},
		"run within the drain bound": {owner().drained().run("r1", 5000, 5100), nil, nil},
		"run after the drain bound": {
			owner().drained().run("r1", 5101, 5102), nil, []audit.Problem{audit.AfterDrain},
		},
		"sent after the drain bound": {
			owner().run("r1", 10, 20).drained().refused("r2", "draining", 5101), nil, []audit.Problem{audit.AfterDrain},
		},
		"drain withdrawn": {
			owner().drained().add(200, audit.DrainWithdrawn, nil, nil).run("r1", 5200, 5201), nil, nil,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assertFound(t, []*script{c.script}, c.records, c.want...) })
	}
}

func TestInvalidAudits(t *testing.T) {
	assertError := func(t *testing.T, want error, records []audit.Record, scripts ...*script) {
		t.Helper()
		if _, err := check(scripts, records); !errors.Is(err, want) {
			t.Fatalf("got %v, want %v", err, want)
		}
	}
	assertError(t, audit.ErrEmpty, nil)
	assertError(t, audit.ErrEmpty, nil, target("a").grant(0, 100, shard1))
	assertError(t, audit.ErrUnknown, nil, target("a").add(0, "odd", nil, nil))
	assertError(t, audit.ErrUnknown, []audit.Record{record(withOutcome("odd"))}, target("a").grant(0, 100, shard1).run("r1", 1, 2))
	mixed := target("a").grant(0, 100, shard1).restarted(10)
	mixed.incarnation = "i1"
	assertError(t, audit.ErrMixed, nil, mixed.grant(20, 100, shard1))
}

func TestCounts(t *testing.T) {
	report, err := check([]*script{
		target("a").grant(0, 1000, shard1).renew(500, 1500).run("r1", 10, 20).expired(1500),
		target("b").grant(1700, 2500, shard1Later).run("r2", 1800, 1810),
	}, []audit.Record{record(func(*audit.Record) {})})
	if err != nil {
		t.Fatal(err)
	}
	want := audit.Counts{
		Entries: 8, Targets: 2, Incarnations: 2, Grants: 2, Renewals: 1, Runs: 2, Records: 1, Done: 1,
		Unrecorded: 1, Moves: 1, LongestGapNs: (200 * time.Millisecond).Nanoseconds(),
	}
	if report.Counts != want {
		t.Fatalf("got %+v, want %+v", report.Counts, want)
	}
}
