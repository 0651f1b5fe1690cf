package hostlink

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/owner"
)

const (
	// reportInterval is the time between two reports, before
	// reportIntervalPerHost is added.
	reportInterval = 700 * time.Millisecond
	// reportIntervalPerHost is the time that each linked host adds to
	// reportInterval.
	reportIntervalPerHost = 10 * time.Millisecond
	// maxReportInterval bounds the time between two reports.
	maxReportInterval = 1500 * time.Millisecond
	// idleReportInterval is the time after which a report is sent although it is
	// empty. It is below the time after which the leader closes the link.
	idleReportInterval = 5 * time.Second
	// linkPollInterval is the time between checks of the link and of the leader.
	linkPollInterval = 150 * time.Millisecond
	// redialDelay is the time after a failed dial before the same incarnation is
	// dialed again.
	redialDelay = 1500 * time.Millisecond
)

// Reporter keeps a link to the leader and reports to it. Its function fields are
// set before Run.
type Reporter struct {
	// Leader returns the address and the incarnation of the leader. ok is false if
	// no other host is the leader.
	Leader func() (address, incarnation string, ok bool)
	// Report returns what this host has observed of its callers' requests since
	// the previous call, or all that it remembers if all is set.
	Report func(all bool) owner.Report
	// Leading reports whether this host is the leader. If so, HandleReport is
	// called with its report.
	Leading      func() bool
	HandleReport func(owner.Report)
	// HandleFeed is called with each feed that the leader relays.
	HandleFeed func(Feed)

	// hosts is the number of linked hosts.
	hosts atomic.Int64
	link  *Link
	// fullReportSent reports whether the current leader has received a report of all
	// that this host remembers.
	fullReportSent bool
	// leading reports whether this host was the leader at the last check.
	leading  bool
	sentAt   time.Time
	dialedAt time.Time
	// dialedIncarnation is the incarnation that was last dialed.
	dialedIncarnation string
	done              chan struct{}
}

// NewReporter returns a reporter.
func NewReporter() *Reporter { return &Reporter{done: make(chan struct{})} }

// Done is closed when Run has returned.
func (r *Reporter) Done() <-chan struct{} { return r.done }

// Run reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(linkPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			r.closeLink()
			return
		case <-tick.C:
			r.report(ctx)
		}
	}
}

func (r *Reporter) report(ctx context.Context) {
	address, incarnation, ok := r.Leader()
	leading := r.Leading()
	if r.link != nil && (leading || !ok || r.link.Incarnation() != incarnation) || r.leading != leading {
		r.closeLink()
	}
	r.leading = leading
	if !leading && (!ok || r.link == nil && !r.dial(ctx, address, incarnation)) {
		return
	}
	interval := min(reportInterval+time.Duration(r.hosts.Load())*reportIntervalPerHost, maxReportInterval)
	if time.Since(r.sentAt) < interval {
		return
	}
	report := r.Report(!r.fullReportSent)
	r.fullReportSent = true
	if leading {
		r.sentAt = time.Now()
		r.HandleReport(report)
		return
	}
	if len(report.Counts) == 0 && len(report.Processing) == 0 && time.Since(r.sentAt) < idleReportInterval {
		return
	}
	r.sentAt = time.Now()
	if err := r.link.Report(ctx, report); err != nil {
		klog.InfoS("Failed to send a report to the leader", "address", address, "err", err)
		r.closeLink()
	}
}

func (r *Reporter) dial(ctx context.Context, address, incarnation string) bool {
	if r.dialedIncarnation == incarnation && time.Since(r.dialedAt) < redialDelay {
		return false
	}
	r.dialedAt, r.dialedIncarnation = time.Now(), incarnation
	link, err := Dial(ctx, address)
	if err != nil {
		klog.InfoS("Failed to dial the leader", "address", address, "err", err)
		return false
	}
	if link.Incarnation() != incarnation {
		link.Close()
		return false
	}
	r.link = link
	r.dialedAt = time.Time{}
	go r.receive(ctx, link)
	return true
}

// receive passes feeds to HandleFeed until the link ends.
func (r *Reporter) receive(ctx context.Context, link *Link) {
	for {
		feed, err := link.Receive(ctx)
		if err != nil {
			return
		}
		r.hosts.Store(int64(feed.Hosts))
		r.HandleFeed(feed)
	}
}

func (r *Reporter) closeLink() {
	r.fullReportSent = false
	if r.link != nil {
		r.link.Close()
		r.link = nil
	}
}
