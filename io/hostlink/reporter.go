package hostlink

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/owner"
)

const (
	// reportInterval is the time between two reports.
	reportInterval = 700 * time.Millisecond
	// reportSpread is what each linked host adds to the interval, reportMost its
	// bound.
	reportSpread = 10 * time.Millisecond
	reportMost   = 1500 * time.Millisecond
	// quietInterval is the longest time without a report, within which the
	// other host keeps the link.
	quietInterval = 5 * time.Second
	// linkPoll is the time between looks whether there is a host to link to.
	linkPoll = 150 * time.Millisecond
	// dialPause is the pause after a link to the same process that failed.
	dialPause = 1500 * time.Millisecond
)

// Reporter keeps a link to the host that leads and reports to it. Its function
// fields are set before Run.
type Reporter struct {
	// Leader returns the address and the process of the host that leads, or
	// false where there is none.
	Leader func() (address, process string, ok bool)
	// Report returns what this host saw of its callers' requests since the call
	// before, or with all set what it remembers of them.
	Report func(all bool) owner.Report
	// Leading says whether this host leads itself, where Take takes the report.
	Leading      func() bool
	HandleReport func(owner.Report)
	// HandleFeed takes what the host that leads tells.
	HandleFeed func(Feed)

	// hosts is the number of linked hosts.
	hosts atomic.Int64
	link  *Link
	// told says that the host that leads was told what is remembered here.
	told bool
	// here is whether this host led at the last look.
	here   bool
	sent   time.Time
	dialed time.Time
	// tried is the process that was last dialed.
	tried string
	done  chan struct{}
}

// NewReporter returns a reporter.
func NewReporter() *Reporter { return &Reporter{done: make(chan struct{})} }

// Done is closed when Run has returned.
func (r *Reporter) Done() <-chan struct{} { return r.done }

// Run reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(linkPoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			r.drop()
			return
		case <-tick.C:
			r.report(ctx)
		}
	}
}

func (r *Reporter) report(ctx context.Context) {
	address, process, ok := r.Leader()
	here := r.Leading()
	if r.link != nil && (here || !ok || r.link.Process() != process) || r.here != here {
		r.drop()
	}
	r.here = here
	if !here && (!ok || r.link == nil && !r.dial(ctx, address, process)) {
		return
	}
	interval := min(reportInterval+time.Duration(r.hosts.Load())*reportSpread, reportMost)
	if time.Since(r.sent) < interval {
		return
	}
	report := r.Report(!r.told)
	r.told = true
	if here {
		r.sent = time.Now()
		r.HandleReport(report)
		return
	}
	if len(report.Counts) == 0 && len(report.Processing) == 0 && time.Since(r.sent) < quietInterval {
		return
	}
	r.sent = time.Now()
	if err := r.link.Report(ctx, report); err != nil {
		klog.InfoS("Link to the host that leads is lost", "address", address, "err", err)
		r.drop()
	}
}

func (r *Reporter) dial(ctx context.Context, address, process string) bool {
	if r.tried == process && time.Since(r.dialed) < dialPause {
		return false
	}
	r.dialed, r.tried = time.Now(), process
	link, err := Dial(ctx, address)
	if err != nil {
		klog.InfoS("No link to the host that leads", "address", address, "err", err)
		return false
	}
	if link.Process() != process {
		link.Close()
		return false
	}
	r.link = link
	r.dialed = time.Time{}
	go r.receive(ctx, link)
	return true
}

// receive passes feeds on until the link ends.
func (r *Reporter) receive(ctx context.Context, link *Link) {
	for {
		news, err := link.Receive(ctx)
		if err != nil {
			return
		}
		r.hosts.Store(int64(news.Hosts))
		r.HandleFeed(news)
	}
}

func (r *Reporter) drop() {
	r.told = false
	if r.link != nil {
		r.link.Close()
		r.link = nil
	}
}
