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

// orderSender sends the leaseholder's orders to targets and its release queries
// to other hosts. A pool of workers takes them from one queue. The host decides
// under its own locks which of them are due; no lock is held during I/O.
type orderSender struct {
	host    *host.Host
	targets *target.Client
	call    callFunc
	now     nowFunc
	metrics *metrics
	wake    chan struct{}
	jobs    chan func(ctx context.Context)
}

// run sends orders and release queries until ctx is done.
func (s *orderSender) run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	for range orderWorkers {
		workers.Go(func() { s.runWorker(ctx) })
	}
	runEvery(ctx, orderInterval, s.wake, s.sendDue)
}

func (s *orderSender) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-s.jobs:
			job(ctx)
		}
	}
}

// sendDue enqueues the orders and release queries that are due.
func (s *orderSender) sendDue(ctx context.Context) {
	orders, queries := s.host.DueMessages(s.now())
	for _, order := range orders {
		s.enqueue(ctx, func(ctx context.Context) { s.sendOrder(ctx, order) })
	}
	for _, query := range queries {
		s.enqueue(ctx, func(ctx context.Context) { s.sendReleaseQuery(ctx, query) })
	}
}

func (s *orderSender) enqueue(ctx context.Context, job func(ctx context.Context)) {
	select {
	case s.jobs <- job:
	case <-ctx.Done():
	}
}

// sendOrder sends an order to its target and records the result.
func (s *orderSender) sendOrder(ctx context.Context, order lease.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := s.now()
	status, refused, err := s.send(ctx, order)
	if err != nil {
		s.metrics.orders.WithLabelValues(orderKind(order), "failed").Add(1)
		s.targets.ResetOrders(order.Address)
		s.host.Leases().RecordFailure(order, true, s.now())
		return
	}
	s.metrics.orders.WithLabelValues(orderKind(order), orderResult(refused)).Add(1)
	result := lease.Response{
		Incarnation: status.Incarnation, ClockUs: status.ClockUs, Health: status.Health, SetVersion: status.SetVersion, Refused: refused,
	}
	s.host.Leases().RecordResponse(order, result, sent, s.now())
	signal(s.wake)
}

func orderKind(order lease.Order) string {
	switch {
	case order.StatusOnly:
		return "probe"
	case order.Renew:
		return "renew"
	}
	return "grant"
}

func orderResult(refused string) string {
	if refused == "" {
		return "accepted"
	}
	return refused
}

// send sends an order and returns the target's status. If the target refused
// the order, send also returns the code of the refusal, and no error.
func (s *orderSender) send(ctx context.Context, order lease.Order) (target.Status, string, error) {
	if order.StatusOnly {
		status, err := s.targets.Probe(ctx, order.Address)
		return status, "", errors.Wrap(err, "probe")
	}
	status, err := s.targets.Grant(ctx, order.Address, newGrant(order, s.host.Self().Incarnation.String()))
	var refused *target.RefusedError
	if errors.As(err, &refused) {
		return refused.Status, refused.Code, nil
	}
	return status, "", errors.Wrap(err, "grant")
}

func newGrant(order lease.Order, leaseholder string) target.Grant {
	grant := target.Grant{
		Incarnation: order.Incarnation, Term: order.Token, Leaseholder: leaseholder, SetVersion: order.SetVersion,
		ExpiresUs: order.ExpiresUs, Renew: order.Renew,
	}
	for _, item := range order.Shards {
		grant.Shards = append(grant.Shards, target.GrantShard{Shard: item.Shard, Epoch: item.Epoch, Except: item.Except})
	}
	return grant
}

// sendReleaseQuery sends a release query to the leaseholder of a former owner and
// records the released shards.
func (s *orderSender) sendReleaseQuery(ctx context.Context, query lease.ReleaseQuery) {
	leaseholder, ok := s.host.LeaseholderOf(query.Message.Target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	s.metrics.releaseQueries.Add(1)
	reply, err := s.call(ctx, leaseholder, &message.Call{Release: &query.Message})
	if err != nil || reply.Release == nil || len(reply.Release.Shards) == 0 {
		return
	}
	s.host.Leases().RecordReleased(query, reply.Release.Shards)
	signal(s.wake)
}
