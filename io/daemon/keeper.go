package daemon

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"pineturn/core/host"
	"pineturn/core/lease"
	"pineturn/core/message"
	"pineturn/io/target"
)

// keeper sends the leaseholder's orders to targets and its questions to other
// hosts. A pool of workers takes them from one queue; what is due is decided
// by the host under its own locks, and no lock is held while I/O is under way.
type keeper struct {
	host    *host.Host
	targets *target.Client
	call    callFunc
	now     nowFunc
	counts  *metrics
	wake    chan struct{}
	jobs    chan func(ctx context.Context)
}

// run sends orders until ctx ends.
func (k *keeper) run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	for range orderWorkers {
		workers.Go(func() { k.work(ctx) })
	}
	every(ctx, actInterval, k.wake, k.act)
}

func (k *keeper) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-k.jobs:
			job(ctx)
		}
	}
}

// act queues what is due.
func (k *keeper) act(ctx context.Context) {
	orders, questions := k.host.DueMessages(k.now())
	for _, order := range orders {
		k.queue(ctx, func(ctx context.Context) { k.order(ctx, order) })
	}
	for _, question := range questions {
		k.queue(ctx, func(ctx context.Context) { k.ask(ctx, question) })
	}
}

func (k *keeper) queue(ctx context.Context, job func(ctx context.Context)) {
	select {
	case k.jobs <- job:
	case <-ctx.Done():
	}
}

// order carries out one order.
func (k *keeper) order(ctx context.Context, order lease.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := k.now()
	status, refused, err := k.send(ctx, order)
	if err != nil {
		k.counts.orders.WithLabelValues(kindOf(order), "failed").Add(1)
		k.targets.Reset(order.Address)
		k.host.Leases().RecordFailure(order, true, k.now())
		return
	}
	k.counts.orders.WithLabelValues(kindOf(order), resultOf(refused)).Add(1)
	answer := lease.Answer{
		Incarnation: status.Incarnation, ClockUs: status.ClockUs, Health: status.Health, Set: status.Set, Refused: refused,
	}
	k.host.Leases().RecordAnswer(order, answer, sent, k.now())
	signal(k.wake)
}

func kindOf(order lease.Order) string {
	switch {
	case order.Probe:
		return "probe"
	case order.Renew:
		return "renew"
	}
	return "grant"
}

func resultOf(refused string) string {
	if refused == "" {
		return "accepted"
	}
	return refused
}

// send returns the target's status, and its reason when it refused.
func (k *keeper) send(ctx context.Context, order lease.Order) (target.Status, string, error) {
	if order.Probe {
		status, err := k.targets.Clock(ctx, order.Address)
		return status, "", errors.Wrap(err, "probe")
	}
	status, err := k.targets.Grant(ctx, order.Address, grantOf(order, k.host.Self().Incarnation.String()))
	var refused *target.Refused
	if errors.As(err, &refused) {
		return refused.Status, refused.Code, nil
	}
	return status, "", errors.Wrap(err, "grant")
}

func grantOf(order lease.Order, holder string) target.Grant {
	grant := target.Grant{
		Incarnation: order.Incarnation, Term: order.Term, Holder: holder, Set: order.Set,
		ExpiresUs: order.ExpiresUs, Renew: order.Renew,
	}
	for _, item := range order.Shards {
		grant.Shards = append(grant.Shards, target.GrantShard{Shard: item.Shard, Epoch: item.Epoch, Except: item.Except})
	}
	return grant
}

// ask puts one question to the leaseholder of a former owner.
func (k *keeper) ask(ctx context.Context, question lease.ReleaseQuery) {
	holder, ok := k.host.HolderOf(question.Message.Target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	k.counts.questions.Add(1)
	reply, err := k.call(ctx, holder, &message.Call{Release: &question.Message})
	if err != nil || reply.Release == nil || len(reply.Release.Shards) == 0 {
		return
	}
	k.host.Leases().RecordReleased(question, reply.Release.Shards)
	signal(k.wake)
}
