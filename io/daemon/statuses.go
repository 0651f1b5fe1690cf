package daemon

import (
	"context"
	"sync"

	"pineturn/core/fold"
	"pineturn/core/message"
	"pineturn/core/record"
)

// gatherStatuses asks every member for the targets that it leads. Hosts that
// do not answer are named with the reason.
func (d *Daemon) gatherStatuses(ctx context.Context) (map[record.Target]message.TargetStatus, map[string]string) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	statuses := map[record.Target]message.TargetStatus{}
	missing := map[string]string{}
	for _, led := range d.leads().Targets {
		statuses[led.Target] = led
	}
	var (
		mu    sync.Mutex
		calls sync.WaitGroup
	)
	for _, one := range d.otherMembers() {
		calls.Go(func() {
			reply, err := d.peers.Call(ctx, one, &message.Call{HeldTargets: &message.HeldTargets{}})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || reply.HeldTargets == nil {
				missing[one.Incarnation.Host] = "leaseholder " + one.Incarnation.String() + " does not answer"
				return
			}
			for _, led := range reply.HeldTargets.Targets {
				statuses[led.Target] = led
			}
		})
	}
	calls.Wait()
	return statuses, missing
}

// otherMembers lists the members except this host.
func (d *Daemon) otherMembers() []record.Member {
	var list []record.Member
	d.host.ViewState(func(state *fold.State) {
		for _, one := range state.Members().Current() {
			if one.Incarnation != d.host.Self().Incarnation {
				list = append(list, one)
			}
		}
	})
	return list
}

// leads answers which targets this host is the leaseholder of.
func (d *Daemon) leads() *message.HeldTargetsReply {
	led := &message.HeldTargetsReply{}
	queues := d.requests.holder.QueueLoads()
	for _, status := range d.host.Leases().Statuses(d.now()) {
		led.Targets = append(led.Targets, message.TargetStatus{
			Target: status.Target, Term: status.Term, Alive: status.Alive, Health: status.Health, Left: status.Left,
			InFlight: queues[status.Target].Running,
		})
	}
	return led
}
