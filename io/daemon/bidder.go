package daemon

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"pineturn/core/host"
	"pineturn/core/message"
	"pineturn/core/record"
)

// bidder asks the other members for promises, as a deputy during an outage of
// the log.
type bidder struct {
	host    *host.Host
	call    callFunc
	members func() []record.Member
	now     nowFunc
	wake    chan<- struct{}
}

// run bids until ctx ends.
func (b *bidder) run(ctx context.Context) {
	every(ctx, bidInterval, nil, b.round)
}

// round asks every member for each promise, at once.
func (b *bidder) round(ctx context.Context) {
	promises := b.host.Bids(b.now())
	if len(promises) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, to := range b.members() {
		calls.Go(func() { b.ask(ctx, to, promises) })
	}
	calls.Wait()
	signal(b.wake)
}

func (b *bidder) ask(ctx context.Context, to record.Member, promises []message.Promise) {
	for _, promise := range promises {
		reply, err := b.call(ctx, to, &message.Call{Promise: &promise})
		if err != nil {
			klog.V(1).InfoS("A member did not answer a bid", "member", to.Incarnation.String(), "err", err)
			return
		}
		if reply.Promise != nil && b.host.OnPromised(to.Incarnation, promise, *reply.Promise, b.now()) {
			klog.InfoS("Took over a target while the log is down", "target", promise.Target.String(), "level", promise.Level)
		}
	}
}
