package poison

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

const (
	modelStep     = 10 * time.Millisecond
	modelDuration = 60 * time.Second
	// modelTargets is the number of targets, which are back restartTime after their end.
	modelTargets = 30
	restartTime  = 2 * time.Second
	// inTouch is the time after the third end of a target, and after the start of a host, from
	// which sends count, and sendsAllowed the number of these that is allowed.
	inTouch      = 3 * time.Second
	sendsAllowed = 3
	// reportDelay and recordDelay bound the time until the leader has a host's events, and until
	// all hosts have read a change of the record.
	reportDelay = 400 * time.Millisecond
	recordDelay = 600 * time.Millisecond
	// writeDelay bounds the time from one write of a host to the next.
	writeDelay = 400 * time.Millisecond
	// electionTime is the time without a leader after one has ended.
	electionTime = 2 * time.Second
	// maxUnjust is the longest time for which a request that ends no target may be refused
	// while there is a leader.
	maxUnjust = 2 * time.Second
	busyName  = "busy"
	fatalName = "fatal"
)

// modelHost is a host of the model.
type modelHost struct {
	*Tracker
	// told is the number of events that the leader has been told.
	told int
	// reportAt, recordAt and writeAt are the times of the next report, and of the next read and
	// the next write of the record.
	reportAt, recordAt, writeAt time.Time
	// readVersion is the version of the record last read.
	readVersion int
	startedAt   time.Time
	// isolated is set while the host reaches the store and no other host.
	isolated bool
}

// modelSend is a send of the request that ends targets, by a host that is in touch or not.
type modelSend struct {
	at      time.Time
	inTouch bool
}

// model plays hosts that send requests to targets.
type model struct {
	random *rand.Rand
	now    time.Time
	hosts  []*modelHost
	leader int
	// ledFrom is the time from which the leader leads.
	ledFrom  time.Time
	recorded []Block
	// recordVersion counts the writes of the record.
	recordVersion int
	// incarnations counts the incarnations of each target, and backAt is when it is back.
	incarnations []int
	backAt       []time.Time
	version      string
	sends        []modelSend
	unjustSince  map[*modelHost]time.Time
	unjust       time.Duration
	others       int
}

func newModel(seed uint64, hosts int) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, version: "v1", incarnations: make([]int, modelTargets), backAt: make([]time.Time, modelTargets),
		unjustSince: make(map[*modelHost]time.Time),
	}
	for range hosts {
		m.hosts = append(m.hosts, m.newHost())
	}
	return m
}

func (m *model) newHost() *modelHost {
	h := &modelHost{Tracker: NewTracker(), startedAt: m.now}
	m.read(h)
	h.reportAt = m.after(reportDelay)
	return h
}

func (m *model) after(limit time.Duration) time.Time {
	return m.now.Add(time.Duration(m.random.Int64N(int64(limit))))
}

func (m *model) target(i int) Target {
	return Target{ID: fmt.Sprint("t", i, "-", m.incarnations[i]), Version: m.version}
}

// end ends a target under requests that hosts had sent to it a moment ago.
func (m *model) end(i int, requests map[string]*modelHost) {
	x := m.target(i)
	sentAt := m.now.Add(-time.Duration(10+m.random.IntN(60)) * time.Millisecond)
	told := make(map[*modelHost]bool)
	for name, h := range requests {
		h.Lost(Send{Fingerprint: request(name), Target: x, Request: name, SentAt: sentAt}, m.now)
		told[h] = true
	}
	for h := range told {
		h.Ended(x.ID, m.now)
	}
	m.incarnations[i]++
	m.backAt[i] = m.now.Add(restartTime)
}

func (m *model) anyHost() *modelHost { return m.hosts[m.random.IntN(len(m.hosts))] }

// others returns requests that ran at a target when it ended: different ones, and the busy one.
func (m *model) beside() map[string]*modelHost {
	requests := make(map[string]*modelHost)
	for range m.random.IntN(4) {
		m.others++
		requests[fmt.Sprint("other", m.others)] = m.anyHost()
	}
	if m.random.IntN(2) > 0 {
		requests[busyName] = m.anyHost()
	}
	return requests
}

// sendFatal sends the request that ends targets to a host.
func (m *model) sendFatal() {
	h := m.anyHost()
	if block, ok := h.Find(request(fatalName), m.now); ok && block.Covers(m.version) {
		return
	}
	i := m.random.IntN(modelTargets)
	if m.now.Before(m.backAt[i]) {
		return
	}
	m.sends = append(m.sends, modelSend{at: m.now, inTouch: m.now.Sub(h.startedAt) >= inTouch})
	requests := m.beside()
	requests[fatalName] = h
	m.end(i, requests)
}

// step plays modelStep.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	if m.random.IntN(60) == 0 {
		m.sendFatal()
	}
	if m.random.IntN(20) == 0 {
		m.anyHost().Responded(request(busyName), m.version, m.now)
	}
	m.trouble()
	leads := !m.now.Before(m.ledFrom)
	for _, h := range m.hosts {
		m.stepHost(h, leads)
	}
	for _, h := range m.hosts {
		h.SetRole(m.role(h, leads), m.now)
	}
	for _, h := range m.hosts {
		m.record(h)
	}
}

// record writes what a host has to record. As in the store, that succeeds only based on the
// record last read.
func (m *model) record(h *modelHost) {
	blocks, differ := h.Unrecorded(m.now)
	if !differ || m.now.Before(h.writeAt) {
		return
	}
	h.writeAt = m.after(writeDelay)
	if h.readVersion == m.recordVersion {
		m.recorded = blocks
		m.recordVersion++
	}
	m.read(h)
}

// read makes a host read the record.
func (m *model) read(h *modelHost) {
	if m.recordVersion > 0 {
		h.SetRecord(m.recorded, m.now)
	}
	h.readVersion, h.recordAt = m.recordVersion, m.after(recordDelay)
}

func (m *model) role(h *modelHost, leads bool) Role {
	switch {
	case !leads || h.isolated:
		return Alone
	case h == m.hosts[m.leader]:
		return Leader
	}
	return Follower
}

// trouble ends single targets, many at once, hosts and the leader at times.
func (m *model) trouble() {
	switch m.random.IntN(600) {
	case 0:
		m.end(m.random.IntN(modelTargets), m.beside())
	case 1:
		for i := range modelTargets / 3 {
			requests := m.beside()
			requests[busyName] = m.anyHost()
			m.end(i, requests)
		}
	case 4:
		if h := m.anyHost(); h != m.hosts[m.leader] {
			h.isolated = !h.isolated
		}
	case 2:
		m.hosts[m.random.IntN(len(m.hosts))] = m.newHost()
	case 3:
		m.hosts[m.leader] = m.newHost()
		m.leader = m.random.IntN(len(m.hosts))
		m.hosts[m.leader].isolated = false
		m.ledFrom = m.now.Add(electionTime)
		for _, h := range m.hosts {
			h.told = 0
		}
	}
}

func (m *model) stepHost(h *modelHost, leads bool) {
	leader := m.hosts[m.leader]
	if leads && h != leader && !h.isolated && !m.now.Before(h.reportAt) {
		var events []Event
		events, h.told = h.Events(h.told, m.now)
		leader.AddEvents(events, m.now)
		h.reportAt = m.after(reportDelay)
	}
	if !m.now.Before(h.recordAt) {
		m.read(h)
	}
	if _, refused := h.Find(request(busyName), m.now); !refused || !leads || h.isolated {
		delete(m.unjustSince, h)
	} else if since, ok := m.unjustSince[h]; ok {
		m.unjust = max(m.unjust, m.now.Sub(since))
	} else {
		m.unjustSince[h] = m.now
	}
}

// lateSends returns the number of sends that count.
func (m *model) lateSends() int {
	n := 0
	for i, send := range m.sends {
		if i >= endsToBlock && send.inTouch && send.at.Sub(m.sends[endsToBlock-1].at) > inTouch {
			n++
		}
	}
	return n
}

// seeds returns the number of draws, by default few.
func seeds(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("PINETURN_POISON_SEEDS")
	if text == "" {
		return 2
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestIsolatedHosts guards against a request that ends one target after the other because none of
// its hosts reaches another host, though all reach the store.
func TestIsolatedHosts(t *testing.T) {
	for seed := range seeds(t) {
		m := newModel(seed, 9)
		m.ledFrom = start.Add(modelDuration)
		for _, h := range m.hosts {
			h.isolated = true
		}
		for m.now.Sub(start) < modelDuration {
			m.now = m.now.Add(modelStep)
			if m.random.IntN(100) == 0 && m.now.Sub(start) > isolationDelay {
				m.sendFatal()
			}
			for _, h := range m.hosts {
				h.SetRole(Alone, m.now)
				m.stepHost(h, false)
				m.record(h)
			}
		}
		if got := m.lateSends(); got > sendsAllowed {
			t.Errorf("seed %d: got %d sends later than %v after the third end, want at most %d", seed, got, inTouch, sendsAllowed)
		}
	}
}

// TestAnyTrouble guards against requests that end more targets than allowed, and against others
// that are refused, while targets, failure domains, hosts and leaders end.
func TestAnyTrouble(t *testing.T) {
	for _, hosts := range []int{1, 9, 78, 195} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(t) {
				m := newModel(seed, hosts)
				for m.now.Sub(start) < modelDuration {
					m.step()
				}
				if got := m.lateSends(); got > sendsAllowed {
					t.Errorf("seed %d: got %d sends later than %v after the third end, want at most %d", seed, got, inTouch, sendsAllowed)
				}
				if m.unjust > maxUnjust {
					t.Errorf("seed %d: got a request that ends no target refused for %v, want at most %v", seed, m.unjust, maxUnjust)
				}
				for n := range m.others {
					if _, ok := m.hosts[m.leader].Find(request(fmt.Sprint("other", n)), m.now); ok {
						t.Errorf("seed %d: got request other%d refused, want it served", seed, n)
					}
				}
			}
		})
	}
}
