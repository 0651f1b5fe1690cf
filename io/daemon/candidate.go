package daemon

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"pineturn/core/host"
	"pineturn/core/message"
	"pineturn/core/record"
)

// candidate asks the other members for promises, as a deputy during an outage of
// the log.
type candidate struct {
	host    *host.Host
	call    callFunc
	members func() []record.Member
	now     nowFunc
	wake    chan<- struct{}
}

// run asks until ctx ends.
func (c *candidate) run(ctx context.Context) {
	every(ctx, candidateInterval, nil, c.round)
}

// round asks every member for each promise, at once.
func (c *candidate) round(ctx context.Context) {
	promises := c.host.Candidacies(c.now())
	if len(promises) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, to := range c.members() {
		calls.Go(func() { c.ask(ctx, to, promises) })
	}
	calls.Wait()
	signal(c.wake)
}

func (c *candidate) ask(ctx context.Context, to record.Member, promises []message.Promise) {
	for _, promise := range promises {
		reply, err := c.call(ctx, to, &message.Call{Promise: &promise})
		if err != nil {
			klog.V(1).InfoS("A member did not answer a candidate", "member", to.Incarnation.String(), "err", err)
			return
		}
		if reply.Promise != nil && c.host.OnPromiseReply(to.Incarnation, promise, *reply.Promise, c.now()) {
			klog.InfoS("Took over a target while the log is down", "target", promise.Target.String(), "level", promise.Level)
		}
	}
}
