package hostlink

import (
	"context"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/io/metastore"
	"pineturn/io/standin/link"
	"pineturn/platform"
)

// feedLog holds the feeds that a host has received.
type feedLog struct {
	mu sync.Mutex
	// understated is the largest difference between the true age of a watermark and
	// the age that it states. oldest is the largest age stated.
	understated, oldest time.Duration
	receivedAt          time.Time
}

// add records a feed whose watermarks state their own time in Next.
func (l *feedLog) add(feed Feed, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivedAt = now
	for _, w := range feed.Watermarks {
		l.understated = max(l.understated, now.Sub(time.Unix(0, w.Next))-w.Age)
		l.oldest = max(l.oldest, w.Age)
	}
}

func (l *feedLog) get() (understated, oldest time.Duration, receivedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.understated, l.oldest, l.receivedAt
}

// awaitNext waits until another feed has been received.
func (l *feedLog) awaitNext(t *testing.T) {
	t.Helper()
	_, _, before := l.get()
	for end := time.Now().Add(feedTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, _, receivedAt := l.get(); receivedAt != before {
			return
		}
	}
	t.Fatalf("next feed: got none in %v, want one", feedTimeout)
}

// newLinkedHost runs a host that is linked to a leader through a stand-in for the
// network between them. The leader's watermarks state their own time in Next.
func newLinkedHost(t *testing.T) (*link.Link, *feedLog) {
	t.Helper()
	clk := clock.Boot{}
	s := NewServer("leader", clk)
	s.Subscribe = func() (<-chan metastore.Update, func(), func() []metastore.Watermark) {
		return make(chan metastore.Update), func() {}, func() []metastore.Watermark {
			return []metastore.Watermark{{Topic: "topic", Next: clk.Now().UnixNano()}}
		}
	}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.CloseClientConnections)
	network, err := link.New("127.0.0.1:0", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Close)
	feeds := &feedLog{}
	r := NewReporter(clk)
	r.Leader = func() (Leader, bool) {
		return Leader{Address: network.Address(), Incarnation: "leader", Epoch: 1}, true
	}
	r.Leading = func() bool { return false }
	r.Report = func(bool) owner.Report { return owner.Report{Counts: []owner.KeyCount{{Service: "records", Count: 1}}} }
	r.HandleFeed = func(feed Feed) { feeds.add(feed, clk.Now()) }
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-r.Done()
	})
	return network, feeds
}

// TestWatermarksOfDelayedFeeds guards against a host that takes an old state for a
// recent one: after a partition it receives feeds that were sent seconds ago.
func TestWatermarksOfDelayedFeeds(t *testing.T) {
	network, feeds := newLinkedHost(t)
	// The host replaces a link without feeds for feedTimeout, and then receives no delayed
	// one: the stall begins with a feed and is shorter.
	const stall = 1200 * time.Millisecond
	time.Sleep(2 * reportInterval)
	feeds.awaitNext(t)
	if err := network.SetMode(link.Stalled, 0); err != nil {
		t.Fatal(err)
	}
	time.Sleep(stall)
	if err := network.SetMode(link.Up, 0); err != nil {
		t.Fatal(err)
	}
	time.Sleep(maxFeedInterval)
	understated, oldest, _ := feeds.get()
	if understated > 0 {
		t.Errorf("age of a watermark below its true age: got %v less, want none", understated)
	}
	if oldest < stall/2 {
		t.Errorf("oldest watermark after a stall of %v: got age %v, want at least %v", stall, oldest, stall/2)
	}
}

// TestSilentLinkIsReplaced guards against a host without feeds for long after a
// partition: its open link stays silent, while a new one works.
func TestSilentLinkIsReplaced(t *testing.T) {
	network, feeds := newLinkedHost(t)
	time.Sleep(2 * reportInterval)
	if err := network.SetMode(link.Silent, 0); err != nil {
		t.Fatal(err)
	}
	silentAt := clock.Boot{}.Now()
	const limit = 2800 * time.Millisecond
	time.Sleep(limit)
	if _, _, receivedAt := feeds.get(); receivedAt.Sub(silentAt) < maxFeedInterval/2 {
		t.Errorf("last feed within %v after the link went silent: got it %v after, want one over a new link", limit, receivedAt.Sub(silentAt))
	}
}

// TestFollowsEpoch guards against a leader that waits for an earlier one which is cut
// off from the store, and against one that relies on a host which still leads.
func TestFollowsEpoch(t *testing.T) {
	var epoch atomic.Int64
	var leading atomic.Bool
	epoch.Store(3)
	leading.Store(true)
	s := NewServer("earlier", clock.Boot{})
	s.Subscribe = func() (<-chan metastore.Update, func(), func() []metastore.Watermark) {
		return make(chan metastore.Update), func() {}, func() []metastore.Watermark { return nil }
	}
	s.Leadership = func() (int64, bool) { return epoch.Load(), leading.Load() }
	s.HandleOwners = func(record platform.Record) { epoch.Store(record.Offset) }
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.CloseClientConnections)
	wantFollows := func(t *testing.T, want bool) {
		t.Helper()
		l, err := Dial(t.Context(), server.Listener.Addr().String(), clock.Boot{})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if got := l.FollowsEpoch(4); got != want {
			t.Errorf("host of epoch %d, leading %t, follows epoch 4: got %t, want %t", epoch.Load(), leading.Load(), got, want)
		}
	}
	t.Run("the host leads and does not know of the epoch", func(t *testing.T) { wantFollows(t, false) })
	t.Run("it is told", func(t *testing.T) {
		l, err := Dial(t.Context(), server.Listener.Addr().String(), clock.Boot{})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if err := l.SendOwners(t.Context(), platform.Record{Key: platform.KeyOwners, Offset: 4}); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(time.Second); epoch.Load() < 4 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		wantFollows(t, false)
	})
	named := []owner.UnaccountedGrant{{Service: "records", First: 3, Last: 9}}
	s.Unaccounted = func() []owner.UnaccountedGrant { return named }
	wantNamed := func(t *testing.T, after int64, want bool) {
		t.Helper()
		l, err := Dial(t.Context(), server.Listener.Addr().String(), clock.Boot{})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if got, ok := l.StoppedBefore(after); ok != want || ok && !slices.Equal(got, named) {
			t.Errorf("grants that may be applied late: got %v, %t, want %v, %t", got, ok, named, want)
		}
	}
	t.Run("it names its last grants", func(t *testing.T) {
		wantFollows(t, false)
		wantNamed(t, 4, true)
		wantNamed(t, 5, false)
	})
	t.Run("it has stopped leading", func(t *testing.T) {
		leading.Store(false)
		wantFollows(t, true)
		wantNamed(t, 4, false)
	})
}

// TestFullReportOncePerLeader guards against counting the requests of a host twice:
// on another link to the same leader it must not send again all that it remembers.
func TestFullReportOncePerLeader(t *testing.T) {
	address, _ := newLeader(t, "leader")
	var mu sync.Mutex
	full := 0
	epoch := int64(1)
	r := NewReporter(clock.Boot{})
	r.Leader = func() (Leader, bool) {
		mu.Lock()
		defer mu.Unlock()
		return Leader{Address: address, Incarnation: "leader", Epoch: epoch}, true
	}
	r.Leading = func() bool { return false }
	r.HandleFeed = func(Feed) {}
	r.Report = func(all bool) owner.Report {
		mu.Lock()
		defer mu.Unlock()
		if all {
			full++
		}
		return owner.Report{Counts: []owner.KeyCount{{Service: "records", Count: 1}}}
	}
	reportAfterRelink := func(t *testing.T, want int) {
		t.Helper()
		r.closeLink()
		r.sentAt = time.Time{}
		r.report(t.Context())
		if mu.Lock(); full != want {
			t.Errorf("full reports to the leader: got %d, want %d", full, want)
		}
		mu.Unlock()
	}
	t.Run("first link", func(t *testing.T) { reportAfterRelink(t, 1) })
	t.Run("another link to the same leader", func(t *testing.T) { reportAfterRelink(t, 1) })
	t.Run("the same host leads again", func(t *testing.T) {
		mu.Lock()
		epoch++
		mu.Unlock()
		reportAfterRelink(t, 2)
	})
}
