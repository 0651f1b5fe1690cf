package daemon

import (
	"context"

	"k8s.io/klog/v2"

	"pineturn/core/host"
	"pineturn/core/message"
	"pineturn/core/record"
)

// proposer appends the operations that this host proposes, one round at a time.
type proposer struct {
	host   *host.Host
	submit func(ctx context.Context, ops []record.Op) (SubmitResult, error)
	now    nowFunc
	wake   chan struct{}
}

// run proposes operations until ctx is done.
func (p *proposer) run(ctx context.Context) {
	runEvery(ctx, proposeInterval, p.wake, p.propose)
}

func (p *proposer) propose(ctx context.Context) {
	ops := p.host.Propose(p.now())
	if len(ops) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := p.submit(ctx, ops[:min(len(ops), maxBatchOps)]); err != nil {
		klog.V(1).InfoS("Proposed operations were not confirmed", "operations", len(ops), "err", err)
	}
}

// reporter sends the load and liveness of the targets that this host is the
// leaseholder of to the planner.
type reporter struct {
	host *host.Host
	call callFunc
	now  nowFunc
	wake chan struct{}
	// warmUp is called before each report.
	warmUp func()
}

// run sends reports until ctx is done.
func (r *reporter) run(ctx context.Context) {
	runEvery(ctx, reportInterval, r.wake, r.report)
}

func (r *reporter) report(ctx context.Context) {
	r.warmUp()
	now := r.now()
	planner, ok := r.host.Planner(now)
	if !ok {
		return
	}
	report := r.host.Report(now)
	if planner.Incarnation == r.host.Self().Incarnation {
		r.host.OnReport(report, now)
		return
	}
	if len(report.Targets) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	if _, err := r.call(ctx, planner, &message.Call{Report: &report}); err != nil {
		klog.V(1).InfoS("Failed to send a report to the planner", "planner", planner.Incarnation.String(), "err", err)
	}
}
