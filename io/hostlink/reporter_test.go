package hostlink

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/io/metastore"
)

// newLeader serves links of a leader, and counts the reports that it receives.
func newLeader(t *testing.T, incarnation string) (address string, reports *atomic.Int64) {
	t.Helper()
	reports = new(atomic.Int64)
	s := NewServer(incarnation, clock.Boot{})
	s.HandleReport = func(owner.Report) { reports.Add(1) }
	s.Subscribe = func() (<-chan metastore.Update, func(), func() []metastore.Watermark) {
		return make(chan metastore.Update), func() {}, func() []metastore.Watermark { return nil }
	}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String(), reports
}

// unusedAddress returns an address without a listener.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestNewLeaderIsLinkedAtOnce guards against a late link to a new leader: the
// redial delay after a failed dial of the previous leader must not apply to the
// next one.
func TestNewLeaderIsLinkedAtOnce(t *testing.T) {
	address, reports := newLeader(t, "new")
	var current atomic.Pointer[Leader]
	current.Store(&Leader{Address: unusedAddress(t), Incarnation: "old"})
	r := NewReporter(clock.Boot{})
	r.Leader = func() (Leader, bool) { return *current.Load(), true }
	r.Leading = func() bool { return false }
	r.Report = func(bool) owner.Report { return owner.Report{Counts: []owner.KeyCount{{Service: "records", Count: 1}}} }
	r.HandleFeed = func(Feed) {}
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		<-r.Done()
	}()
	go r.Run(ctx)
	time.Sleep(2 * linkPollInterval)
	current.Store(&Leader{Address: address, Incarnation: "new"})
	changed := time.Now()
	for reports.Load() == 0 && time.Since(changed) < redialDelay {
		time.Sleep(linkPollInterval / 10)
	}
	if got := time.Since(changed); got >= redialDelay/2 {
		t.Errorf("first report to the new leader: got it after %v, want it within %v", got, redialDelay/2)
	}
}

// TestReportInterval guards against reports that overwhelm the leader of many hosts, and against
// more frequent ones where keys are not spread.
func TestReportInterval(t *testing.T) {
	for _, x := range []struct {
		hosts    int64
		frequent bool
		want     time.Duration
	}{
		{9, false, 790 * time.Millisecond}, {91, false, 1500 * time.Millisecond},
		{36, true, 400 * time.Millisecond}, {195, true, 780 * time.Millisecond}, {1000, true, 1500 * time.Millisecond},
	} {
		r := NewReporter(clock.Boot{})
		r.hosts.Store(x.hosts)
		r.Frequent = func() bool { return x.frequent }
		if got := r.interval(); got != x.want {
			t.Errorf("%d hosts, frequent %t: got a report each %v, want each %v", x.hosts, x.frequent, got, x.want)
		}
	}
}
