package daemon

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"pineturn/core/host"
	"pineturn/core/message"
	"pineturn/core/record"
)

// candidate requests promises from the other members while this host is a deputy
// during a log outage.
type candidate struct {
	host    *host.Host
	call    callFunc
	members func() []record.Member
	now     nowFunc
	wake    chan<- struct{}
}

// run requests promises until ctx is done.
func (c *candidate) run(ctx context.Context) {
	runEvery(ctx, promiseInterval, nil, c.requestPromises)
}

// requestPromises requests each pending promise from all members concurrently.
func (c *candidate) requestPromises(ctx context.Context) {
	promises := c.host.Candidacies(c.now())
	if len(promises) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, to := range c.members() {
		calls.Go(func() { c.requestFrom(ctx, to, promises) })
	}
	calls.Wait()
	signal(c.wake)
}

func (c *candidate) requestFrom(ctx context.Context, to record.Member, promises []message.Promise) {
	for _, promise := range promises {
		reply, err := c.call(ctx, to, &message.Call{Promise: &promise})
		if err != nil {
			klog.V(1).InfoS("Failed to request a promise from a member", "member", to.Incarnation.String(), "err", err)
			return
		}
		if reply.Promise != nil && c.host.OnPromiseReply(to.Incarnation, promise, *reply.Promise, c.now()) {
			klog.InfoS("Became leaseholder of a target during a log outage", "target", promise.Target.String(), "level", promise.Level)
		}
	}
}
