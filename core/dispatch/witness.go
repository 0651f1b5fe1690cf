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

// witness makes sure that a host in another failure domain knows the
// request's id. The entry does, unless it is in this host's own domain.
func (r *run) witness(ctx context.Context) *outcome.Error {
	h := r.holder
	if r.entry.Domain != h.Self.Domain {
		r.claim.SetReplica(r.entry.Incarnation)
		return nil
	}
	candidates := witnesses(h.Members(), h.Self, r.req.ID)
	if len(candidates) == 0 {
		return nil
	}
	req := onceRequest(r.way, &r.req)
	ask := message.Witness{
		Target:  record.Target{Service: req.Service, Name: r.way.Target.ID().Name},
		Request: req.ID,
		Window:  req.Window,
		Hash:    shard.Hash(req.Key),
	}
	for _, candidate := range candidates[:min(len(candidates), maxWitnesses)] {
		// A host that does not answer may have been told all the same.
		ask.Sequence = r.claim.AddWitness(candidate.Incarnation)
		if h.ask(ctx, candidate, ask) {
			r.claim.SetReplica(candidate.Incarnation)
			return nil
		}
	}
	return outcome.Refuse(outcome.HostUnreachable, "no host in another failure domain could remember the request", retryWitness)
}

func (h *Leaseholder) ask(ctx context.Context, candidate record.Member, ask message.Witness) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	ask.Sender = h.Self.Incarnation
	_, err := h.Witness(ctx, candidate, ask)
	return err == nil
}

// RevokeWitness tells hosts that a request need not be remembered any more, as it was
// not run.
func (h *Leaseholder) RevokeWitness(ask message.Witness, asked []record.Incarnation) {
	ask.Window = 0
	h.background.Go(func() {
		for _, member := range h.Members() {
			if slices.Contains(asked, member.Incarnation) {
				h.ask(context.Background(), member, ask)
			}
		}
	})
}

// witnesses lists the members in other domains than self, starting at a place
// that depends on the request. Without any it lists the other members.
func witnesses(members []record.Member, self record.Member, id string) []record.Member {
	var others, apart []record.Member
	for _, member := range members {
		if member.Incarnation == self.Incarnation {
			continue
		}
		others = append(others, member)
		if member.Domain != self.Domain {
			apart = append(apart, member)
		}
	}
	if len(apart) == 0 {
		apart = others
	}
	if len(apart) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(id) % uint64(len(apart)))
	return append(apart[first:len(apart):len(apart)], apart[:first]...)
}

// RepairReplicas lets every id whose second host is no longer a member be known to
// another one. It is called when a member is removed, and returns how many
// ids are left with this host alone.
func (h *Leaseholder) RepairReplicas(ctx context.Context) int {
	return h.copyIDs(ctx, h.Dedup.WitnessRequests(h.Members(), false), 1)
}

// ReplicateIDs lets two hosts in different failure domains know every id that
// this one remembers, before it stops. It returns how many ids are not.
func (h *Leaseholder) ReplicateIDs(ctx context.Context) int {
	return h.copyIDs(ctx, h.Dedup.WitnessRequests(h.Members(), true), 2)
}

// copyIDs has each id remembered by count hosts, and counts those that are
// not.
func (h *Leaseholder) copyIDs(ctx context.Context, asks []message.Witness, count int) int {
	members := h.Members()
	var failed atomic.Int64
	var group errgroup.Group
	group.SetLimit(maxCopying)
	for _, ask := range asks {
		group.Go(func() error {
			if !h.copyID(ctx, ask, witnesses(members, h.Self, ask.Request), count) {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(failed.Load())
}

func (h *Leaseholder) copyID(ctx context.Context, ask message.Witness, candidates []record.Member, count int) bool {
	known := make(map[string]bool)
	for _, candidate := range candidates {
		known[candidate.Domain] = true
	}
	count = min(count, len(known))
	domains := make(map[string]bool, count)
	for _, candidate := range candidates {
		if len(domains) == count {
			break
		}
		if domains[candidate.Domain] {
			continue
		}
		number, remembered := h.Dedup.AddWitness(ask, candidate.Incarnation)
		if !remembered {
			return true
		}
		ask.Sequence = number
		if !h.ask(ctx, candidate, ask) {
			continue
		}
		domains[candidate.Domain] = true
		if !h.Dedup.SetReplica(ask, candidate.Incarnation) {
			h.RevokeWitness(ask, []record.Incarnation{candidate.Incarnation})
			return true
		}
	}
	return len(domains) == count
}
