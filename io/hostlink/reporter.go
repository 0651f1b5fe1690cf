package hostlink

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/peers"
	"pineturn/core/placement"
	"pineturn/core/poison"
	"pineturn/core/ratelimit"
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
	// minFrequentInterval is the shortest time between two reports where they are frequent, and
	// frequentIntervalPerHost the time for each linked host, which bounds what the leader receives.
	minFrequentInterval     = 400 * time.Millisecond
	frequentIntervalPerHost = 4 * time.Millisecond
	// idleReportInterval is the time after which a report is sent although it is
	// empty. It is below the time after which the leader closes the link.
	idleReportInterval = 5 * time.Second
	// linkPollInterval is the time between checks of the link and of the leader.
	linkPollInterval = 150 * time.Millisecond
	// lacksInterval is the time after which this host repeats what it lacks.
	lacksInterval = 700 * time.Millisecond
	// redialDelay is the time after a failed dial before the same incarnation is
	// dialed again.
	redialDelay = 600 * time.Millisecond
)

// Leader is the leading host.
type Leader struct {
	// Address is where the host accepts links, Incarnation that of its process.
	Address, Incarnation string
	// Epoch is the epoch of its leadership.
	Epoch int64
}

// Reporter keeps a link to the leader and reports to it. Its function fields are
// set before Run.
type Reporter struct {
	// Leader returns the leader. remote is false if it is this host, or if no
	// leader is known.
	Leader func() (leader Leader, remote bool)
	// Report returns what this host has observed of its callers' requests since
	// the previous call, or all that it remembers if all is set.
	Report func(all bool) owner.Report
	// Leading reports whether this host is the leader. If so, HandleReport is
	// called with its report.
	Leading      func() bool
	HandleReport func(owner.Report)
	// WhileLeading is called with each check of the link while this host is the
	// leader.
	WhileLeading func()
	// Self returns this host as other hosts see it. A change is reported with the
	// next check of the link.
	Self func() peers.Host
	// Limits returns what this host knows of the limits of targets. It is part of each
	// report; LimitsChanged reports whether that must not wait for the next one.
	Limits        func() []ratelimit.Observation
	LimitsChanged func() bool
	// Departures returns the targets that have said to this host that they leave, after
	// the first n, and the number of all.
	Departures func(n int) (departures []placement.Departure, count int)
	// Poison returns what this host has observed of requests that end targets, after the first n
	// events, and the number of events up to the last one returned.
	Poison func(n int) (events []poison.Event, count int)
	// Lacks returns the topics of which this host needs the newest records from the leader.
	Lacks func() []string
	// Frequent reports whether the leader needs reports soon, to spread the keys that become busy.
	Frequent func() bool
	// HandleFeed is called with each feed that the leader relays.
	HandleFeed func(Feed)

	// hosts is the number of linked hosts.
	hosts atomic.Int64
	clock clock.Clock
	link  *Link
	// linkDone is closed when the link has ended.
	linkDone chan struct{}
	// informed is the leader that has received a report of all that this host
	// remembers. After another link to it, it receives only what is new.
	informed Leader
	// leading reports whether this host was the leader at the last check.
	leading bool
	sentAt  time.Time
	// sentSelf is this host as last reported.
	sentSelf peers.Host
	// lacksSentAt is the time at which the link was last used to tell what this host lacks.
	lacksSentAt time.Time
	// departures is the number of departures that were reported on the link.
	departures int
	// poison is the number of events of requests that end targets that were reported on the
	// link.
	poison   int
	dialedAt time.Time
	// dialedIncarnation is the incarnation that was last dialed.
	dialedIncarnation string
	done              chan struct{}
}

// NewReporter returns a reporter.
func NewReporter(clk clock.Clock) *Reporter {
	return &Reporter{
		clock: clk, done: make(chan struct{}),
		WhileLeading: func() {}, Self: func() peers.Host { return peers.Host{} },
		Limits: func() []ratelimit.Observation { return nil }, LimitsChanged: func() bool { return false },
		Departures: func(int) ([]placement.Departure, int) { return nil, 0 },
		Poison:     func(int) ([]poison.Event, int) { return nil, 0 },
		Lacks:      func() []string { return nil },
		Frequent:   func() bool { return false },
	}
}

// Done is closed when Run has returned.
func (r *Reporter) Done() <-chan struct{} { return r.done }

// Hosts returns the number of linked hosts that the leader last told.
func (r *Reporter) Hosts() int { return int(r.hosts.Load()) }

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
	leader, remote := r.Leader()
	leading := r.Leading()
	if r.link != nil && (leading || !remote || r.link.Incarnation() != leader.Incarnation || r.linkEnded()) || r.leading != leading {
		r.closeLink()
	}
	r.leading = leading
	if !leading && (!remote || r.link == nil && !r.dial(ctx, leader)) {
		return
	}
	if leading {
		r.WhileLeading()
	}
	now := r.clock.Now()
	if now.Sub(r.sentAt) < r.interval() {
		r.reportSelf(ctx, leader)
		return
	}
	limits := r.Limits()
	report := r.Report(r.informed != leader)
	r.informed = leader
	if leading {
		r.sentAt = now
		r.HandleReport(report)
		return
	}
	if len(report.Counts) == 0 && len(report.Processing) == 0 && len(limits) == 0 && now.Sub(r.sentAt) < idleReportInterval {
		r.reportSelf(ctx, leader)
		return
	}
	r.sentAt = now
	r.send(ctx, leader, report, News{Self: r.Self(), Limits: limits})
}

// interval returns the time between two reports.
func (r *Reporter) interval() time.Duration {
	hosts := time.Duration(r.hosts.Load())
	if r.Frequent() {
		return min(max(hosts*frequentIntervalPerHost, minFrequentInterval), maxReportInterval)
	}
	return min(reportInterval+hosts*reportIntervalPerHost, maxReportInterval)
}

// reportSelf sends a report without counts if this host, or a limit of a target, has changed
// since the last report on the link, or a target has said that it leaves.
func (r *Reporter) reportSelf(ctx context.Context, leader Leader) {
	if r.link == nil {
		return
	}
	limitsChanged := r.LimitsChanged()
	departures, _ := r.Departures(r.departures)
	events, _ := r.Poison(r.poison)
	if self := r.Self(); limitsChanged || len(departures) > 0 || len(events) > 0 || r.lacksDue() || !self.Equal(r.sentSelf) {
		r.send(ctx, leader, owner.Report{}, News{Self: self, Limits: r.Limits()})
	}
}

// lacksDue reports whether this host lacks records and has not told the leader of late.
func (r *Reporter) lacksDue() bool {
	return r.clock.Now().Sub(r.lacksSentAt) >= lacksInterval && len(r.Lacks()) > 0
}

// send sends a report and news, with what is new of departures, of requests that end targets and
// of what is lacking, on the link. It closes the link if that fails.
func (r *Reporter) send(ctx context.Context, leader Leader, report owner.Report, news News) {
	r.sentSelf = news.Self
	news.Departures, r.departures = r.Departures(r.departures)
	news.Poison, r.poison = r.Poison(r.poison)
	if r.lacksDue() {
		news.Lacks, r.lacksSentAt = r.Lacks(), r.clock.Now()
	}
	if err := r.link.Report(ctx, report, news); err != nil {
		klog.InfoS("Failed to send a report to the leader", "address", leader.Address, "err", err)
		r.closeLink()
	}
}

func (r *Reporter) dial(ctx context.Context, leader Leader) bool {
	if r.dialedIncarnation == leader.Incarnation && r.clock.Now().Sub(r.dialedAt) < redialDelay {
		return false
	}
	r.dialedAt, r.dialedIncarnation = r.clock.Now(), leader.Incarnation
	link, err := Dial(ctx, leader.Address, r.clock)
	if err != nil {
		klog.InfoS("Failed to dial the leader", "address", leader.Address, "err", err)
		return false
	}
	if link.Incarnation() != leader.Incarnation {
		link.Close()
		return false
	}
	r.link, r.linkDone, r.departures = link, make(chan struct{}), 0
	r.lacksSentAt, r.poison = time.Time{}, 0
	// A report is due at once: the ages of watermarks are bounded closely only
	// after the other host has echoed one.
	r.dialedAt, r.sentAt = time.Time{}, time.Time{}
	go r.receive(ctx, link, r.linkDone)
	return true
}

// receive passes feeds to HandleFeed until the link ends, then closes done.
func (r *Reporter) receive(ctx context.Context, link *Link, done chan<- struct{}) {
	defer close(done)
	for {
		feed, err := link.Receive(ctx)
		if err != nil {
			return
		}
		r.hosts.Store(int64(feed.Hosts))
		r.HandleFeed(feed)
	}
}

// linkEnded reports whether no more feeds can arrive on the link.
func (r *Reporter) linkEnded() bool {
	select {
	case <-r.linkDone:
		return true
	default:
		return false
	}
}

func (r *Reporter) closeLink() {
	if r.link != nil {
		r.link.Close()
		r.link = nil
	}
}
