package dispatch

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// replicateID has another host remember the request's id. An ingress in another failure
// domain does so already. Otherwise replicateID tries up to maxWitnesses hosts of
// witnessCandidates, and returns an error if none of them accepts the id. If there are
// no candidates, only this host remembers the id.
func (r *targetRequest) replicateID(ctx context.Context) *outcome.Error {
	l := r.leaseholder
	if r.ingress.Domain != l.Self.Domain {
		r.claim.SetReplica(r.ingress.Incarnation)
		return nil
	}
	candidates := witnessCandidates(l.Members(), l.Self, r.req.ID)
	if len(candidates) == 0 {
		return nil
	}
	req := dedupRequest(r.route, &r.req)
	witness := message.Witness{
		Target:  record.Target{Service: req.Service, Name: r.route.Target.ID().Name},
		Request: req.ID,
		Window:  req.Window,
		Hash:    shard.Hash(req.Key),
	}
	for _, candidate := range candidates[:min(len(candidates), maxWitnesses)] {
		// A host that does not reply may still have received the message.
		witness.Sequence = r.claim.AddWitness(candidate.Incarnation)
		if l.sendWitness(ctx, candidate, witness) {
			r.claim.SetReplica(candidate.Incarnation)
			return nil
		}
	}
	return outcome.Refuse(outcome.HostUnreachable, "no host in another failure domain could remember the request", retryNotReplicated)
}

func (l *Leaseholder) sendWitness(ctx context.Context, candidate record.Member, witness message.Witness) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	witness.Sender = l.Self.Incarnation
	_, err := l.Witness(ctx, candidate, witness)
	return err == nil
}

// RevokeWitness revokes a Witness message at the given hosts, because the request was
// not run. It does not wait until the revocations are sent.
func (l *Leaseholder) RevokeWitness(witness message.Witness, hosts []record.Incarnation) {
	witness.Window = 0
	l.background.Go(func() {
		for _, member := range l.Members() {
			if slices.Contains(hosts, member.Incarnation) {
				l.sendWitness(context.Background(), member, witness)
			}
		}
	})
}

// witnessCandidates returns the members in other failure domains than self, or all
// other members if there are none. The order is rotated by a hash of the request's id.
func witnessCandidates(members []record.Member, self record.Member, id string) []record.Member {
	var others, otherDomains []record.Member
	for _, member := range members {
		if member.Incarnation == self.Incarnation {
			continue
		}
		others = append(others, member)
		if member.Domain != self.Domain {
			otherDomains = append(otherDomains, member)
		}
	}
	if len(otherDomains) == 0 {
		otherDomains = others
	}
	if len(otherDomains) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(id) % uint64(len(otherDomains)))
	return append(otherDomains[first:len(otherDomains):len(otherDomains)], otherDomains[:first]...)
}

// RepairReplicas replicates each id whose replica is on a host that is no longer a
// member. It is called when a member is removed. It returns the number of ids that
// only this host remembers.
func (l *Leaseholder) RepairReplicas(ctx context.Context) int {
	return l.replicateAll(ctx, l.Dedup.WitnessMessages(l.Members(), false), 1)
}

// ReplicateIDs replicates each remembered id to two hosts in different failure domains,
// before this host stops. It returns the number of ids for which this failed.
func (l *Leaseholder) ReplicateIDs(ctx context.Context) int {
	return l.replicateAll(ctx, l.Dedup.WitnessMessages(l.Members(), true), 2)
}

// replicateAll sends each message to count hosts, and returns the number of messages
// for which this failed.
func (l *Leaseholder) replicateAll(ctx context.Context, messages []message.Witness, count int) int {
	members := l.Members()
	var failed atomic.Int64
	var group errgroup.Group
	group.SetLimit(maxReplications)
	for _, witness := range messages {
		group.Go(func() error {
			if !l.replicate(ctx, witness, witnessCandidates(members, l.Self, witness.Request), count) {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(failed.Load())
}

// replicate sends a message to count candidates in different failure domains, or to one
// in each domain if there are fewer domains. It returns true if this succeeded or if
// the id was released in the meantime.
func (l *Leaseholder) replicate(ctx context.Context, witness message.Witness, candidates []record.Member, count int) bool {
	available := make(map[string]bool)
	for _, candidate := range candidates {
		available[candidate.Domain] = true
	}
	count = min(count, len(available))
	domains := make(map[string]bool, count)
	for _, candidate := range candidates {
		if len(domains) == count {
			break
		}
		if domains[candidate.Domain] {
			continue
		}
		sequence, remembered := l.Dedup.AddWitness(witness, candidate.Incarnation)
		if !remembered {
			return true
		}
		witness.Sequence = sequence
		if !l.sendWitness(ctx, candidate, witness) {
			continue
		}
		domains[candidate.Domain] = true
		if !l.Dedup.SetReplica(witness, candidate.Incarnation) {
			l.RevokeWitness(witness, []record.Incarnation{candidate.Incarnation})
			return true
		}
	}
	return len(domains) == count
}
