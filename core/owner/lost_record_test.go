package owner

import (
	"os"
	"testing"

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
	record := l.Record()
	m.write(record.NextLeader(record.Leader, LeaderProcess{Incarnation: record.LeaderIncarnation}))
	l.Leader = NewLeader(m.record, MaxLeaseDuration, m.now)
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
	if os.Getenv("PINETURN_RUN_RED") == "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t.Fatalf)
		m.t = t
		for range rapid.IntRange(20, 150).Draw(t, "length") {
			m.stepLost()
		}
	})
}
