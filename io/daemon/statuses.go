package daemon

import (
	"context"
	"sync"

	"pineturn/core/fold"
	"pineturn/core/message"
	"pineturn/core/record"
)

// gatherStatuses queries all members for the targets that they are the leaseholder
// of. The second result maps each host that did not reply to an error text.
func (d *Daemon) gatherStatuses(ctx context.Context) (map[record.Target]message.TargetStatus, map[string]string) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	statuses := map[record.Target]message.TargetStatus{}
	unreachable := map[string]string{}
	for _, status := range d.heldTargets().Targets {
		statuses[status.Target] = status
	}
	var (
		mu    sync.Mutex
		calls sync.WaitGroup
	)
	for _, member := range d.otherMembers() {
		calls.Go(func() {
			reply, err := d.peers.Call(ctx, member, &message.Call{HeldTargets: &message.HeldTargets{}})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || reply.HeldTargets == nil {
				unreachable[member.Incarnation.Host] = "leaseholder " + member.Incarnation.String() + " does not answer"
				return
			}
			for _, status := range reply.HeldTargets.Targets {
				statuses[status.Target] = status
			}
		})
	}
	calls.Wait()
	return statuses, unreachable
}

// otherMembers returns the members except this host.
func (d *Daemon) otherMembers() []record.Member {
	var members []record.Member
	d.host.ViewState(func(state *fold.State) {
		for _, member := range state.Members().Current() {
			if member.Incarnation != d.host.Self().Incarnation {
				members = append(members, member)
			}
		}
	})
	return members
}

// heldTargets returns the targets that this host is the leaseholder of, with their
// status.
func (d *Daemon) heldTargets() *message.HeldTargetsReply {
	reply := &message.HeldTargetsReply{}
	queues := d.requests.leaseholder.QueueLoads()
	for _, status := range d.host.Leases().Statuses(d.now()) {
		reply.Targets = append(reply.Targets, message.TargetStatus{
			Target: status.Target, Term: status.Term, Alive: status.Alive, Health: status.Health, Left: status.Left,
			InFlight: queues[status.Target].Running,
		})
	}
	return reply
}
