package daemon

import (
	"context"

	"k8s.io/klog/v2"

	"pineturn/core/host"
	"pineturn/core/message"
	"pineturn/core/record"
)

// proposer appends what this host proposes, one round at a time.
type proposer struct {
	host   *host.Host
	submit func(ctx context.Context, ops []record.Op) (Written, error)
	now    nowFunc
	wake   chan struct{}
}

// run proposes until ctx ends.
func (p *proposer) run(ctx context.Context) {
	every(ctx, proposeInterval, p.wake, p.round)
}

func (p *proposer) round(ctx context.Context) {
	ops := p.host.Propose(p.now())
	if len(ops) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := p.submit(ctx, ops[:min(len(ops), maxOps)]); err != nil {
		klog.V(1).InfoS("A round of proposals was not confirmed", "operations", len(ops), "err", err)
	}
}

// reporter tells the planner what this host observes of its targets.
type reporter struct {
	host *host.Host
	call callFunc
	now  nowFunc
	wake chan struct{}
	// warm is called before each report.
	warm func()
}

// run reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	every(ctx, reportInterval, r.wake, r.report)
}

func (r *reporter) report(ctx context.Context) {
	r.warm()
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
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	if _, err := r.call(ctx, planner, &message.Call{Report: &report}); err != nil {
		klog.V(1).InfoS("A report did not reach the planner", "planner", planner.Incarnation.String(), "err", err)
	}
}
