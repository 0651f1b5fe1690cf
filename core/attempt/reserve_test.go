package attempt

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestKeptBack(t *testing.T) {
	for _, c := range []struct {
		name  string
		req   Request
		sends int
		want  int
	}{
		{"two attempts left", idempotent, 0, 1},
		{"one attempt left", idempotent, 1, 0},
		{"none left", idempotent, 2, 0},
		{"never sent again", nonIdempotent, 0, 0},
		{"three attempts left", Request{Idempotent: true, MaxAttempts: 3}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := KeptBack(c.req, c.sends); got != c.want {
				t.Errorf("attempts kept back: got %d, want %d", got, c.want)
			}
		})
	}
}

// relayModel is one idempotent request that a host relays to another, which falls silent at a time.
// Times count from the relay.
type relayModel struct {
	req     Request
	reserve *Reserve
	token   Token
	kept    int
	// silentAt is when the other host's messages stop, in both directions; it goes on working.
	silentAt time.Duration
	// givenUpAt is when the relaying host gives the other one up.
	givenUpAt time.Duration
	// delay is that of a message between the two.
	delay time.Duration
}

// relayed returns the number of sends by the other host, which wants one more at each of some times.
func (m *relayModel) relayed(wants []time.Duration) int {
	sends := 1
	for _, at := range wants {
		if sends >= m.req.MaxAttempts-m.kept && !m.granted(sends, at) {
			continue
		}
		sends++
	}
	return sends
}

// granted reports whether the other host gets an answer that lets it send once more.
func (m *relayModel) granted(sends int, at time.Duration) bool {
	if m.kept == 0 || sends >= m.req.MaxAttempts || at+m.delay > m.silentAt {
		return false
	}
	granted := at+m.delay < m.givenUpAt && m.reserve.Take(m.token)
	return granted && at+2*m.delay < m.silentAt
}

// sent returns the number of sends by the relaying host once it has given up the other.
func (m *relayModel) sent() int {
	if m.kept > 0 && m.reserve.Take(m.token) {
		return 1
	}
	return 0
}

// TestAttemptsOfTwoHosts guards against more sends than a request has attempts, whatever is lost between
// the two hosts and when, and against attempts that nobody can use while nothing is lost.
func TestAttemptsOfTwoHosts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	for range 100_000 {
		m := &relayModel{
			req: Request{Idempotent: true, MaxAttempts: 1 + random.IntN(3)}, reserve: NewReserve(),
			silentAt: upTo(2 * time.Second), delay: upTo(20 * time.Millisecond),
		}
		m.givenUpAt = m.silentAt + upTo(time.Second)
		if m.kept = KeptBack(m.req, 0); m.kept > 0 {
			m.token = m.reserve.Keep()
		}
		first := upTo(2 * time.Second)
		sends := m.relayed([]time.Duration{first, first + upTo(time.Second), first + 2*time.Second})
		if total := sends + m.sent(); total > m.req.MaxAttempts {
			t.Fatalf("sends of %+v: got %d, want %d at most", m, total, m.req.MaxAttempts)
		}
		if got := m.reserve.Kept(); got != 0 {
			t.Fatalf("attempts kept back after the request: got %d, want none", got)
		}
	}
	t.Run("nothing is lost", func(t *testing.T) {
		m := &relayModel{req: idempotent, reserve: NewReserve(), kept: 1, silentAt: time.Hour, givenUpAt: time.Hour}
		m.token = m.reserve.Keep()
		if got := m.relayed([]time.Duration{time.Second}); got != idempotent.MaxAttempts {
			t.Errorf("sends by the other host: got %d, want %d", got, idempotent.MaxAttempts)
		}
	})
}
