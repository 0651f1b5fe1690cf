package hostlink

import (
	"context"
	"fmt"
	"hash/maphash"
	"net/http/httptest"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/peers"
	"pineturn/core/placement"
	"pineturn/core/ratelimit"
	"pineturn/io/metastore"
	"pineturn/platform"
)

// peerHost returns the host with a number, in turn in the failure domains a, b and c.
func peerHost(i int, detached ...string) peers.Host {
	return peers.Host{
		Address: fmt.Sprint("host:", 1000+i), Domain: string(rune('a' + i%3)), Incarnation: fmt.Sprint(i), Detached: detached,
	}
}

// newPeerLeader serves links of a leader, the host with number 0.
func newPeerLeader(t *testing.T) (s *Server, address string) {
	t.Helper()
	s = NewServer("leader", clock.Boot{})
	s.Self = func() peers.Host { return peerHost(0) }
	s.Subscribe = func() (<-chan metastore.Update, func(), func() []metastore.Watermark) {
		return make(chan metastore.Update), func() {}, func() []metastore.Watermark { return nil }
	}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.CloseClientConnections)
	return s, server.Listener.Addr().String()
}

// listTime is the time at which a linkedPeer puts lists into its table.
var listTime = time.Unix(1000, 0)

// linkedPeer is a host without requests that is linked to the leader.
type linkedPeer struct {
	table *peers.Table
	// list is the last list that a feed carried.
	list atomic.Pointer[[]peers.Host]
	stop func()
}

// linkPeer links a host to the leader until the test ends or stop is called.
func linkPeer(t *testing.T, address string, self peers.Host) *linkedPeer {
	t.Helper()
	p := &linkedPeer{table: peers.New(self)}
	p.list.Store(&[]peers.Host{})
	r := NewReporter(clock.Boot{})
	r.Leader = func() (Leader, bool) { return Leader{Address: address, Incarnation: "leader", Epoch: 1}, true }
	r.Leading = func() bool { return false }
	r.Report = func(bool) owner.Report { return owner.Report{} }
	r.Self = p.table.Self
	r.HandleFeed = func(feed Feed) {
		if len(feed.Peers) > 0 {
			p.table.Put(feed.Peers, listTime)
			p.list.Store(&feed.Peers)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx)
	p.stop = func() {
		cancel()
		<-r.Done()
	}
	t.Cleanup(p.stop)
	return p
}

// listed returns the hosts in the last list.
func (p *linkedPeer) listed() []peers.Host { return *p.list.Load() }

// wantWithin asserts that a list of hosts is as wanted within a time.
func wantWithin(t *testing.T, limit time.Duration, get func() []peers.Host, want ...peers.Host) {
	t.Helper()
	started := time.Now()
	got := get()
	for ; !slices.EqualFunc(got, want, peers.Host.Equal); got = get() {
		if time.Since(started) > limit {
			t.Fatalf("hosts after %v: got %v, want %v", limit, got, want)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("hosts as wanted after %v", time.Since(started).Round(time.Millisecond))
}

// TestPeers guards against requests that are relayed to a host which became detached
// or left, because other hosts learn of it late or never.
func TestPeers(t *testing.T) {
	const limit = 700 * time.Millisecond
	s, address := newPeerLeader(t)
	first := linkPeer(t, address, peerHost(1))
	second := linkPeer(t, address, peerHost(2))
	known := func(age time.Duration) func() []peers.Host {
		return func() []peers.Host { return second.table.Hosts(listTime.Add(age)) }
	}
	t.Run("linked", func(t *testing.T) {
		wantWithin(t, 2*time.Second, known(0), peerHost(0), peerHost(1))
		wantWithin(t, limit, s.Peers, peerHost(0), peerHost(1), peerHost(2))
	})
	t.Run("detached", func(t *testing.T) {
		first.table.SetDetached([]string{"records"})
		wantWithin(t, limit, known(0), peerHost(0), peerHost(1, "records"))
	})
	t.Run("attached", func(t *testing.T) {
		first.table.SetDetached(nil)
		wantWithin(t, limit, known(0), peerHost(0), peerHost(1))
	})
	t.Run("left", func(t *testing.T) {
		first.stop()
		wantWithin(t, limit, s.Peers, peerHost(0), peerHost(2))
		wantWithin(t, limit, second.listed, peerHost(0))
		wantWithin(t, 0, known(10*time.Second-1), peerHost(0), peerHost(1))
		wantWithin(t, 0, known(10*time.Second), peerHost(0))
	})
}

// dialPeer links a host, as its first report tells of it, to the leader.
func dialPeer(t *testing.T, address string, report reportMessage) *Link {
	t.Helper()
	l, err := Dial(t.Context(), address, clock.Boot{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	if err := write(t.Context(), l.conn, report); err != nil {
		t.Fatal(err)
	}
	return l
}

func receive(t *testing.T, l *Link) Feed {
	t.Helper()
	feed, err := l.Receive(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return feed
}

// TestFeedsListChangedPeers guards against feeds that repeat a list of hosts without
// changes, and against another link that does not get the list.
func TestFeedsListChangedPeers(t *testing.T) {
	_, address := newPeerLeader(t)
	wantLists := func(t *testing.T, l *Link, feeds int, want ...[]peers.Host) {
		t.Helper()
		var got [][]peers.Host
		for range feeds {
			if feed := receive(t, l); len(feed.Peers) > 0 {
				got = append(got, feed.Peers)
			}
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("lists in %d feeds: got %v, want %v", feeds, got, want)
		}
	}
	dial := func(self peers.Host) *Link { return dialPeer(t, address, reportMessage{Self: &self}) }
	first := dial(peerHost(1))
	t.Run("first link", func(t *testing.T) { wantLists(t, first, 3, []peers.Host{peerHost(0)}) })
	second := dial(peerHost(2))
	t.Run("second link", func(t *testing.T) { wantLists(t, second, 3, []peers.Host{peerHost(0), peerHost(1)}) })
	t.Run("first link after the change", func(t *testing.T) { wantLists(t, first, 3, []peers.Host{peerHost(0), peerHost(2)}) })
}

// TestSelfIsReportedAtOnce guards against a change of the own state that waits for the
// next report, or that makes reports of requests more frequent.
func TestSelfIsReportedAtOnce(t *testing.T) {
	s, address := newPeerLeader(t)
	var reports, full atomic.Int64
	s.HandleReport = func(report owner.Report) {
		reports.Add(1)
		if len(report.Counts) > 0 {
			full.Add(1)
		}
	}
	table := peers.New(peerHost(1))
	r := NewReporter(clock.Boot{})
	r.Leader = func() (Leader, bool) { return Leader{Address: address, Incarnation: "leader", Epoch: 1}, true }
	r.Leading = func() bool { return false }
	r.HandleFeed = func(Feed) {}
	r.Report = func(bool) owner.Report { return owner.Report{Counts: []owner.KeyCount{{Service: "records", Count: 1}}} }
	r.Self = table.Self
	defer r.closeLink()
	ctx := t.Context()
	wantReports := func(t *testing.T, all, withCounts int64) {
		t.Helper()
		r.report(ctx)
		for end := time.Now().Add(time.Second); reports.Load() < all && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if got := reports.Load(); got != all || full.Load() != withCounts {
			t.Errorf("reports, with counts: got %d, %d, want %d, %d", got, full.Load(), all, withCounts)
		}
	}
	t.Run("first", func(t *testing.T) { wantReports(t, 1, 1) })
	t.Run("not due and no change", func(t *testing.T) { wantReports(t, 1, 1) })
	table.SetDetached([]string{"records"})
	t.Run("changed", func(t *testing.T) { wantReports(t, 2, 1) })
	t.Run("reported", func(t *testing.T) { wantReports(t, 2, 1) })
	r.closeLink()
	t.Run("another link", func(t *testing.T) {
		wantReports(t, 3, 2)
		wantWithin(t, 0, s.Peers, peerHost(0), peerHost(1, "records"))
	})
}

// TestNewestLinkCounts guards against an old state of a host whose earlier link has not
// ended yet.
func TestNewestLinkCounts(t *testing.T) {
	var l linkedHosts
	earlier, newest := l.open(), l.open()
	l.put(newest, peerHost(1, "records"))
	l.put(earlier, peerHost(1))
	want := func(t *testing.T, want ...peers.Host) {
		t.Helper()
		if got, _ := l.all(peers.Host{}); !slices.EqualFunc(got, want, peers.Host.Equal) {
			t.Errorf("hosts: got %v, want %v", got, want)
		}
	}
	t.Run("both open", func(t *testing.T) { want(t, peerHost(1, "records")) })
	l.remove(earlier)
	t.Run("earlier ended", func(t *testing.T) { want(t, peerHost(1, "records")) })
	l.remove(newest)
	t.Run("both ended", func(t *testing.T) { want(t) })
}

// TestVersionOfLinkedHosts guards against a change that is not listed because the
// version is the same, and against lists computed again for each feed.
func TestVersionOfLinkedHosts(t *testing.T) {
	var l linkedHosts
	link := l.open()
	want := func(t *testing.T, self peers.Host, want int) {
		t.Helper()
		if _, got := l.all(self); got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
	}
	t.Run("first", func(t *testing.T) { want(t, peerHost(0), 1) })
	t.Run("unchanged", func(t *testing.T) { want(t, peerHost(0), 1) })
	t.Run("own state changed", func(t *testing.T) { want(t, peerHost(0, "records"), 2) })
	l.put(link, peerHost(1))
	t.Run("reported", func(t *testing.T) { want(t, peerHost(0, "records"), 3) })
	l.put(link, peerHost(1))
	t.Run("reported the same", func(t *testing.T) { want(t, peerHost(0, "records"), 3) })
	l.put(link, peerHost(1, "records"))
	t.Run("reported a change", func(t *testing.T) { want(t, peerHost(0, "records"), 4) })
	l.remove(link)
	t.Run("link ended", func(t *testing.T) { want(t, peerHost(0, "records"), 5) })
}

// TestPeerListOfManyHosts guards against feeds that grow with the number of hosts, and
// against a host that is dropped from the list when it becomes detached, so that the
// receiver goes on to relay to it.
func TestPeerListOfManyHosts(t *testing.T) {
	const hosts = 40
	all := make([]peers.Host, hosts)
	for i := range all {
		all[i] = peerHost(i)
	}
	list := &peerList{seed: maphash.MakeSeed()}
	first := list.next(all, 1, all[1])
	t.Run("bounded", func(t *testing.T) {
		if got := len(first); got != maxPeersPerFeed {
			t.Errorf("hosts listed: got %d, want %d", got, maxPeersPerFeed)
		}
		if slices.ContainsFunc(first, all[1].Equal) {
			t.Errorf("hosts listed: got %v, want the receiver left out", first)
		}
	})
	t.Run("unchanged", func(t *testing.T) {
		if got := list.next(all, 1, all[1]); got != nil {
			t.Errorf("next list: got %v, want none", got)
		}
	})
	gone := first[:3]
	for i, h := range all {
		if slices.ContainsFunc(gone, h.Equal) {
			all[i].Detached = []string{"records"}
		}
	}
	detached := func(list []peers.Host) (n int) {
		for _, h := range list {
			if len(h.Detached) > 0 {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		name     string
		detached int
	}{{"they are listed as detached", 3}, {"then others take their place", 0}} {
		t.Run(c.name, func(t *testing.T) {
			next := list.next(all, 2, all[1])
			if got := detached(next); got != c.detached || len(next) != maxPeersPerFeed {
				t.Errorf("hosts listed, detached ones: got %d, %d, want %d, %d", len(next), got, maxPeersPerFeed, c.detached)
			}
		})
	}
	t.Run("then unchanged", func(t *testing.T) {
		if got := list.next(all, 2, all[1]); got != nil {
			t.Errorf("next list: got %v, want none", got)
		}
	})
}

// earlierFeed and earlierReport are the messages of builds without lists of hosts.
type (
	earlierFeed struct {
		Updates    []metastore.Update    `cbor:"1,keyasint,omitempty"`
		Watermarks []metastore.Watermark `cbor:"2,keyasint,omitempty"`
		Hosts      int                   `cbor:"3,keyasint,omitempty"`
		Echo       time.Duration         `cbor:"4,keyasint,omitempty"`
		EchoAge    time.Duration         `cbor:"5,keyasint,omitempty"`
	}
	earlierReport struct {
		owner.Report
		SentAt time.Duration    `cbor:"3,keyasint,omitempty"`
		Owners *platform.Record `cbor:"4,keyasint,omitempty"`
	}
)

// TestMessagesOfOtherBuilds guards against hosts that can't read each other's messages
// while a new build is rolled out.
func TestMessagesOfOtherBuilds(t *testing.T) {
	self := peerHost(1, "payouts", "records")
	report := owner.Report{Counts: []owner.KeyCount{{Service: "records", Key: 5, Count: 1}}, Full: true}
	earlierF := earlierFeed{Watermarks: []metastore.Watermark{{Topic: "topic", Next: 3}}, Hosts: 3, Echo: 4, EchoAge: 5}
	feed := feedMessage{Feed: Feed{Watermarks: earlierF.Watermarks, Hosts: 3}, Echo: 4, EchoAge: 5}
	withPeers := feed
	withPeers.Peers = []peers.Host{peerHost(0), self}
	limit := ratelimit.Limit{Named: true, PerSecond: 2.8}
	withLimits := feed
	withLimits.Limits = []ratelimit.Share{{Target: "t", Limit: limit, Age: 3, Dealt: true, PerSecond: 0.7, Burst: 1}}
	left := []placement.Departure{{Target: "t"}, {Target: "u", Born: 5}}
	withDepartures := feed
	withDepartures.Departures, withDepartures.LimitsContinue = left, true
	known := []ratelimit.Observation{{Target: "t", Limit: limit, Age: 3, Demand: 5, Held: 0.7}}
	for _, c := range []struct {
		name string
		sent any
		// into is a pointer to the message of the receiver, want what it then holds.
		into, want any
	}{
		{"feed of an earlier build", earlierF, &feedMessage{}, &feed},
		{"feed to an earlier build", withPeers, &earlierFeed{}, &earlierF},
		{"feed", withPeers, &feedMessage{}, &withPeers},
		{"feed with limits", withLimits, &feedMessage{}, &withLimits},
		{"feed with limits to an earlier build", withLimits, &earlierFeed{}, &earlierF},
		{"report with limits", reportMessage{SentAt: 7, Limits: known}, &reportMessage{}, &reportMessage{SentAt: 7, Limits: known}},
		{"report with limits to an earlier build", reportMessage{Report: report, SentAt: 7, Limits: known}, &earlierReport{}, &earlierReport{Report: report, SentAt: 7}},
		{"feed with departures to an earlier build", withDepartures, &earlierFeed{}, &earlierF},
		{"feed with departures", withDepartures, &feedMessage{}, &withDepartures},
		{"report with departures to an earlier build", reportMessage{Report: report, SentAt: 7, Departures: left, FollowsLimits: true}, &earlierReport{}, &earlierReport{Report: report, SentAt: 7}},
		{"report with departures", reportMessage{SentAt: 7, Departures: left}, &reportMessage{}, &reportMessage{SentAt: 7, Departures: left}},
		{"report of an earlier build", earlierReport{Report: report, SentAt: 7}, &reportMessage{}, &reportMessage{Report: report, SentAt: 7}},
		{"report to an earlier build", reportMessage{Report: report, SentAt: 7, Self: &self}, &earlierReport{}, &earlierReport{Report: report, SentAt: 7}},
		{"report", reportMessage{SentAt: 7, Self: &self}, &reportMessage{}, &reportMessage{SentAt: 7, Self: &self}},
	} {
		t.Run(c.name, func(t *testing.T) { assertReceived(t, c.sent, c.into, c.want) })
	}
}

// TestWhileLeading guards against a leader that learns of other hosts only with its
// next report, and against another host that takes itself for the source of lists.
func TestWhileLeading(t *testing.T) {
	var leading bool
	calls := 0
	r := NewReporter(clock.Boot{})
	r.Leader = func() (Leader, bool) { return Leader{}, false }
	r.Leading = func() bool { return leading }
	r.Report = func(bool) owner.Report { return owner.Report{} }
	r.HandleReport = func(owner.Report) {}
	r.WhileLeading = func() { calls++ }
	wantCalls := func(t *testing.T, want int) {
		t.Helper()
		r.report(t.Context())
		if calls != want {
			t.Errorf("calls while leading: got %d, want %d", calls, want)
		}
	}
	t.Run("not the leader", func(t *testing.T) { wantCalls(t, 0) })
	leading = true
	t.Run("leader", func(t *testing.T) { wantCalls(t, 1) })
	t.Run("no report due", func(t *testing.T) { wantCalls(t, 2) })
}
