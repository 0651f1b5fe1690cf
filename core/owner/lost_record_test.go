package owner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// mostLeaders bounds the leaders of one run, and mostLost the records that the store
	// loses at once.
	mostLeaders = 7
	mostLost    = 6
)

// comeBack lets the store come back from a copy that lacks its last records.
func (m *model) comeBack(lost int) {
	m.stored = m.stored[:max(len(m.stored)-lost, 1)]
	m.record = m.stored[len(m.stored)-1]
	m.era++
}

// newer returns the newer one of a record that the store has and one that a host
// remembers.
func newer(stored, remembered *Assignment) *Assignment {
	if remembered.Epoch >= stored.Epoch {
		return remembered
	}
	return stored
}

// remembered returns a record that a host may have read last, or nil for a host that has
// read nothing.
func (m *model) remembered() *Assignment {
	i := rapid.IntRange(0, mostLost).Draw(m.t, "records that the host has not read")
	if i >= len(m.history) {
		return nil
	}
	return m.history[len(m.history)-1-i]
}

// takeOverInEra makes a new process the leader, which starts from the newest record that it
// has read.
func (m *model) takeOverInEra() {
	known := m.record
	if a := m.remembered(); a != nil && m.newest().era != m.era {
		known = newer(known, a)
	}
	m.takeOverFrom(known)
}

// reclaim makes a leader of an earlier era claim again, unless the store has a record that
// makes it a follower. It need not have been the last one: records of later leaders may be
// lost that it has not read.
func (m *model) reclaim(l *modelLeader) {
	if l.stopped || l.disconnected || l.era == m.era || m.record.Epoch > l.Epoch() {
		return
	}
	m.succeed(l)
	for i, other := range m.leaders {
		if other == l {
			m.leaders = append(append(m.leaders[:i:i], m.leaders[i+1:]...), l)
			return
		}
	}
}

// succeed carries out the claim of a leader of an earlier era.
func (m *model) succeed(l *modelLeader) {
	l.LeaveEra()
	record := l.Record()
	m.write(record.NextLeader(record.Leader, LeaderProcess{Incarnation: record.LeaderIncarnation}, m.era))
	l.Leader = l.Succeed(m.record, l.lastProof, m.now)
	l.era, l.lastProof = m.era, m.now
}

func (m *model) stepLost() {
	switch rapid.IntRange(0, 9).Draw(m.t, "era") {
	case 0:
		m.comeBack(rapid.IntRange(0, mostLost).Draw(m.t, "lost"))
	case 1:
		if len(m.leaders) < mostLeaders {
			m.takeOverInEra()
		}
	case 2, 3:
		m.reclaim(rapid.SampledFrom(m.leaders).Draw(m.t, "reclaims"))
	default:
		m.step()
	}
}

// TestOneOwnerWithLostRecords checks the rules of TestOneOwner while the store comes back
// from older copies, beside everything that TestOneOwner plays. It guards against two owners
// of a key after the store has lost records.
func TestOneOwnerWithLostRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t.Fatalf)
		m.t = t
		for range rapid.IntRange(20, 150).Draw(t, "length") {
			m.stepLost()
		}
	})
}

// lostRecord is a model whose leader has granted all keys, and whose store then comes back
// without the last record that the leader wrote.
func lostRecord(t *testing.T) *model {
	t.Helper()
	m := newModel(func(format string, args ...any) {
		t.Helper()
		t.Fatalf(format, args...)
	})
	for range 4 {
		m.tick(m.newest())
		m.deliverAll(m.newest(), answered)
		m.advance(2 * modelStep)
	}
	m.tick(m.newest())
	m.comeBack(1)
	return m
}

// wantLeased checks that each key has an owner, or that none has.
func (m *model) wantLeased(t *testing.T, want bool) {
	t.Helper()
	for block := range Keys / modelBlockKeys {
		got := false
		for _, target := range m.targets {
			got = got || m.now.Before(target.leasedUntil[block])
		}
		if got != want {
			t.Fatalf("keys from %d have an owner %v after the start: got %v, want %v", block*modelBlockKeys, m.now.Sub(time.Unix(1000, 0)), got, want)
		}
	}
}

// runFor ticks a leader and answers its orders for a duration, and calls check each time.
func (m *model) runFor(l *modelLeader, d time.Duration, check func()) {
	for end := m.now.Add(d); m.now.Before(end); m.advance(modelStep) {
		m.tick(l)
		m.deliverAll(l, answered)
		check()
	}
}

// TestSucceedKeepsOwners guards against keys that lose their owner because the store has lost
// records, though their leader leads on.
func TestSucceedKeepsOwners(t *testing.T) {
	const outage = 5 * time.Second
	owned := func(m *model) func() { return func() { t.Helper(); m.wantLeased(t, true) } }
	t.Run("once", func(t *testing.T) {
		m := lostRecord(t)
		l := m.newest()
		m.runFor(l, outage, owned(m))
		m.reclaim(l)
		m.runFor(l, MaxProofAgeForRenewal+2*leaseExpiryBound, owned(m))
		if l.Record().Incomplete {
			t.Error("record after all unknown leases have expired: got incomplete, want complete")
		}
	})
	t.Run("twice within the wait for unknown leaders", func(t *testing.T) {
		m := lostRecord(t)
		l := m.newest()
		for range 2 {
			m.reclaim(l)
			m.runFor(l, 3*time.Second, owned(m))
			m.comeBack(1)
		}
		m.reclaim(l)
		m.runFor(l, MaxProofAgeForRenewal+2*leaseExpiryBound, owned(m))
	})
	t.Run("with a move that was not recorded", func(t *testing.T) {
		m := lostRecord(t)
		l := m.newest()
		r := l.Record().Services[modelService][0]
		l.Move(modelService, r.First, r.Last, Incarnation{Target: "t3", Born: 1}, m.now)
		m.reclaim(l)
		m.runFor(l, MaxProofAgeForRenewal+2*leaseExpiryBound, owned(m))
	})
}

// TestUnknownLeadersExpire guards against two owners, and against a longer wait than for the
// leases that may be in force: a new process in a new era can't know who holds the keys.
func TestUnknownLeadersExpire(t *testing.T) {
	m := lostRecord(t)
	m.takeOverFrom(newer(m.record, m.history[len(m.history)-1]))
	l, start := m.newest(), m.now
	wait := MaxProofAgeForRenewal + orderTimeout + leaseExpiryBound
	m.runFor(l, wait, func() {
		if m.now.Sub(start) > leaseExpiryBound {
			m.wantLeased(t, false)
		}
	})
	m.runFor(l, modelStep, func() {})
	m.wantLeased(t, true)
}

// TestEpochs guards against fencing tokens of a new era that are not above those of records
// which are lost, and against a record that hides that others may be lost.
func TestEpochs(t *testing.T) {
	process := LeaderProcess{Incarnation: "1"}
	for _, c := range []struct {
		name           string
		from           Assignment
		era            int64
		wantEpoch      int64
		wantIncomplete bool
	}{
		{name: "store without eras", from: Assignment{Epoch: 7}, wantEpoch: 8},
		{name: "empty store without eras", wantEpoch: 1},
		{name: "empty store in its first era", era: 1, wantEpoch: 1<<20 + 1},
		{name: "empty store in a later era", era: 2, wantEpoch: 2<<20 + 1, wantIncomplete: true},
		{name: "same era", from: Assignment{Epoch: 1<<20 + 1, Era: 1}, era: 1, wantEpoch: 1<<20 + 2},
		{name: "same era, incomplete", from: Assignment{Epoch: 2<<20 + 1, Era: 2, Incomplete: true}, era: 2, wantEpoch: 2<<20 + 2, wantIncomplete: true},
		{name: "next era", from: Assignment{Epoch: 1<<20 + 9, Era: 1}, era: 2, wantEpoch: 2<<20 + 1, wantIncomplete: true},
		{name: "epochs beyond the era's", from: Assignment{Epoch: 2<<20 + 5, Era: 1}, era: 2, wantEpoch: 2<<20 + 6, wantIncomplete: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := c.from.NextLeader("host", process, c.era)
			if got.Epoch != c.wantEpoch || got.Era != c.era || got.Incomplete != c.wantIncomplete {
				t.Errorf("next record: got epoch %d, era %d, incomplete %v, want %d, %d, %v",
					got.Epoch, got.Era, got.Incomplete, c.wantEpoch, c.era, c.wantIncomplete)
			}
			data, err := got.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if read, err := Decode(data); err != nil || read.Era != got.Era || read.Incomplete != got.Incomplete {
				t.Errorf("decoded record: got %+v and error %v, want era %d, incomplete %v", read, err, got.Era, got.Incomplete)
			}
		})
	}
}

// lostLeader is a model with a leader that was cut off, and a later one whose records the
// store loses.
type lostLeader struct {
	*model
	earlier, later *modelLeader
}

func newLostLeader(t *testing.T) *lostLeader {
	t.Helper()
	m := &lostLeader{model: newModel(func(format string, args ...any) {
		t.Helper()
		t.Fatalf(format, args...)
	})}
	m.earlier = m.newest()
	m.deliverAll(m.earlier, answered)
	m.advance(modelStep)
	m.earlier.lastProof = m.now
	m.advance(modelStep)
	m.takeOver()
	m.later = m.newest()
	return m
}

// moveFirst lets the later leader move the first range to t1 for a duration in which the
// earlier one does nothing.
func (m *lostLeader) moveFirst(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.advance(modelStep) {
		m.startMove()
		m.tick(m.later)
		m.deliverAll(m.later, answered)
	}
}

// startMove moves the first range as soon as a release will count.
func (m *lostLeader) startMove() {
	r := m.later.services[modelService][0]
	if r.owner.Target != "t1" && m.later.noNewPredecessorLeases(m.now) && m.later.mayMove(r, m.now) {
		m.later.Move(modelService, r.first, r.last, Incarnation{Target: "t1", Born: 1}, m.now)
		m.later.MarkPersisted(m.later.Record())
	}
}

// loseLater ends the later leader and the records that it wrote.
func (m *lostLeader) loseLater() {
	for m.record.Epoch == m.later.Epoch() {
		m.comeBack(1)
	}
	m.kill(m.later)
}

// TestLostMove guards against two owners of keys that a leader had moved whose records are
// all lost: the earlier leader, which has not read them, leads on.
func TestLostMove(t *testing.T) {
	held := func(m *lostLeader, target string) bool { return m.now.Before(m.targets[target].leasedUntil[0]) }
	for _, during := range []time.Duration{0, modelStep, time.Second, 2 * time.Second, 2400 * time.Millisecond, 5 * time.Second, 8 * time.Second} {
		t.Run("after "+during.String(), func(t *testing.T) {
			m := newLostLeader(t)
			m.moveFirst(during)
			m.loseLater()
			moved := held(m, "t1")
			if want := during >= 5*time.Second; moved != want {
				t.Fatalf("first range is moved: got %v, want %v", moved, want)
			}
			m.reclaim(m.earlier)
			m.runFor(m.earlier, MaxProofAgeForRenewal+2*leaseExpiryBound, func() {})
			if !held(m, "t0") {
				t.Error("owner of the first range after all waits: got none, want t0")
			}
			if m.earlier.Fenced() {
				t.Error("leader whose renewal was refused for a lost leader's grant: got fenced, want not")
			}
		})
	}
	for _, times := range []int{1, 2} {
		t.Run(fmt.Sprintf("its owner was unreachable until its lease had expired, %d losses", times), func(t *testing.T) {
			m := newLostLeader(t)
			m.targets["t0"].alive = false
			m.moveFirst(4 * time.Second)
			m.later.Move(modelService, 0, m.later.services[modelService][0].last, Incarnation{Target: "t1", Born: 1}, m.now)
			m.moveFirst(15 * time.Second)
			m.targets["t0"].alive = true
			if !held(m, "t1") {
				t.Fatal("owner of the first range before the loss: got none, want t1")
			}
			m.loseLater()
			m.reclaim(m.earlier)
			if times == 2 {
				m.comeBack(1)
				m.reclaim(m.earlier)
			}
			m.runFor(m.earlier, MaxProofAgeForRenewal+2*leaseExpiryBound, func() {})
		})
	}
	t.Run("the lost leader renews while a new process claims", func(t *testing.T) {
		m := newLostLeader(t)
		m.moveFirst(5 * time.Second)
		m.later.lastProof = m.now
		for m.record.Epoch == m.later.Epoch() {
			m.comeBack(1)
		}
		m.takeOverFrom(m.record)
		m.stepDown(m.earlier)
		m.runFor(m.newest(), MaxProofAgeForRenewal+2*leaseExpiryBound, func() {
			m.tick(m.later)
			m.deliverAll(m.later, answered)
		})
	})
	t.Run("in the era after one in which the owner was confirmed", func(t *testing.T) {
		m := newLostLeader(t)
		m.loseLater()
		m.reclaim(m.earlier)
		m.runFor(m.earlier, 5*time.Second, func() {})
		if !m.earlier.services[modelService][0].confirmed {
			t.Fatal("owner of the first range: got not confirmed, want confirmed")
		}
		m.takeOver()
		m.later = m.newest()
		m.moveFirst(25 * time.Second)
		if !held(m, "t1") {
			t.Fatal("owner of the first range before the loss: got none, want t1")
		}
		m.loseLater()
		m.reclaim(m.earlier)
		m.runFor(m.earlier, MaxProofAgeForRenewal+2*leaseExpiryBound, func() {})
	})
	t.Run("the leader moves the range too, its former owner has ended", func(t *testing.T) {
		m := newLostLeader(t)
		m.moveFirst(5 * time.Second)
		m.loseLater()
		m.reclaim(m.earlier)
		m.earlier.Move(modelService, 0, m.earlier.services[modelService][0].last, Incarnation{Target: "t2", Born: 1}, m.now)
		m.earlier.MarkPersisted(m.earlier.Record())
		m.earlier.services[modelService][0].former[0].ended = true
		if len(m.earlier.DropFormerOwners(m.targetViews(), m.now)) != 1 {
			t.Fatal("dropped former owners: got none, want t0")
		}
		m.runFor(m.earlier, MaxProofAgeForRenewal+2*leaseExpiryBound, func() {})
	})
	t.Run("grants of the lost leader are in flight at its end", func(t *testing.T) {
		m := newLostLeader(t)
		m.moveFirst(3 * time.Second)
		for _, how := range []delivery{unanswered, late} {
			m.tick(m.later)
			m.deliverAll(m.later, how)
			m.advance(modelStep)
		}
		m.loseLater()
		m.reclaim(m.earlier)
		m.runFor(m.earlier, leaseExpiryBound, func() {
			for _, flight := range m.pending {
				m.applyLate(flight, false)
			}
		})
		m.runFor(m.earlier, MaxProofAgeForRenewal+2*leaseExpiryBound, func() {})
	})
	t.Run("the move goes on while the earlier leader claims", func(t *testing.T) {
		m := newLostLeader(t)
		m.moveFirst(2 * time.Second)
		for m.record.Epoch == m.later.Epoch() {
			m.comeBack(1)
		}
		m.later.lastProof = m.now
		m.reclaim(m.earlier)
		for range 20 {
			m.runFor(m.earlier, modelStep, func() {})
			m.startMove()
			m.tick(m.later)
			m.deliverAll(m.later, answered)
		}
		m.runFor(m.earlier, MaxProofAgeForRenewal+2*leaseExpiryBound, func() {})
	})
}
