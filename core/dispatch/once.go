package dispatch

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"pineturn/core/dedup"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/route"
	"pineturn/core/shard"
)

// recall looks for an earlier attempt before the request waits for a slot,
// and collects what other hosts know of the shard if that was not done yet.
func (r *run) recall(ctx context.Context) (*dedup.Answer, *outcome.Error) {
	memory := r.holder.Dedup
	kept, failure := memory.Lookup(digested(r.way, &r.req))
	if kept != nil || failure != nil || memory.Ready(r.req.Shard, r.way.Epoch, r.way.Term) {
		return kept, failure
	}
	if failure := r.allow(); failure != nil || memory.Ready(r.req.Shard, r.permit.Epoch, r.permit.Term) {
		return nil, failure
	}
	return nil, r.collect(ctx, "")
}

// begin claims the id of a request that must not be repeated, and makes sure
// that a host in another failure domain knows it too. The permit was got
// before, so no earlier leaseholder can send the request any more.
func (r *run) begin(ctx context.Context) (*dedup.Answer, *outcome.Error) {
	memory, req := r.holder.Dedup, digested(r.way, &r.req)
	if !memory.Ready(r.req.Shard, r.permit.Epoch, r.permit.Term) {
		if failure := r.collectAgain(ctx, ""); failure != nil {
			return nil, failure
		}
	}
	if memory.OnlyCollected(req.Service, req.ID) {
		// The other hosts may have been asked before this attempt, while an
		// earlier one was still under way.
		if failure := r.collectAgain(ctx, req.ID); failure != nil {
			return nil, failure
		}
	}
	claim, kept, failure := memory.Begin(req, r.req.Shard, r.permit.Epoch, r.permit.Term)
	if kept != nil || failure != nil {
		return kept, failure
	}
	r.claim = claim
	return nil, r.witness(ctx)
}

// digested names a request with the digest of its content.
func digested(way route.Route, req *message.Request) dedup.Request {
	named := onceRequest(way, req)
	hash := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Key} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	_, _ = hash.Write(req.Body)
	hash.Sum(named.Digest[:0])
	return named
}

// collectAgain collects with the permit at hand, and gets one that holds after
// that.
func (r *run) collectAgain(ctx context.Context, forID string) *outcome.Error {
	if failure := r.collect(ctx, forID); failure != nil {
		return failure
	}
	return r.allow()
}

// collect asks the other hosts for the ids of the shard, once for all
// requests that need it at the moment, or for one id alone, so that they are
// asked after the call. The run has a permit.
func (r *run) collect(ctx context.Context, forID string) *outcome.Error {
	id, epoch, term := r.req.Shard, r.permit.Epoch, r.permit.Term
	flight := fmt.Sprintf("%s@%d.%d/%s", id, epoch, term, forID)
	way := r.way
	result := r.holder.collecting.DoChan(flight, func() (any, error) {
		return nil, r.holder.collect(way, epoch, term)
	})
	select {
	case <-ctx.Done():
		return outcome.Refuse(outcome.NotReady, "what other hosts have sent is not yet known here", retryWitness)
	case got := <-result:
		if got.Err != nil {
			return outcome.Refuse(outcome.NotReady, got.Err.Error(), retryWitness)
		}
	}
	return nil
}

// collect gathers the ids that all members remember for a shard's keys. Every
// id is known in two failure domains, so the members of one domain may be
// missing; they are not waited for much longer than the others.
func (h *Leaseholder) collect(way route.Route, epoch, term uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
	defer cancel()
	ask := h.Dedup.NewQuery(recallOf(way))
	pending := make(map[record.Incarnation]record.Member)
	results := make(chan recallResult)
	for _, member := range h.Members() {
		if member.Incarnation != h.Self.Incarnation {
			pending[member.Incarnation] = member
			go h.recall(ctx, member, ask.IDQuery, results)
		}
	}
	answers := make(map[record.Incarnation][]message.RememberedID, len(pending))
	var late <-chan time.Time
	for asked := len(pending); asked > 0; asked-- {
		if late == nil && oneDomain(pending) {
			late = time.After(recallGrace)
		}
		select {
		case result := <-results:
			if result.err == nil {
				delete(pending, result.from)
				answers[result.from] = result.requests
			}
		case <-late:
			asked = 0
		case <-ctx.Done():
			asked = 0
		}
	}
	if !oneDomain(pending) {
		return fmt.Errorf("%d hosts in several failure domains did not say what they have sent", len(pending))
	}
	if !h.Dedup.Collect(h.Self.Incarnation, way.Shard, epoch, term, ask, answers) {
		return fmt.Errorf("too many ids to remember")
	}
	return nil
}

// recallResult is one host's answer to a Recall.
type recallResult struct {
	from     record.Incarnation
	requests []message.RememberedID
	err      error
}

func (h *Leaseholder) recall(ctx context.Context, member record.Member, ask message.IDQuery, results chan<- recallResult) {
	recalled, err := h.QueryIDs(ctx, member, ask)
	select {
	case results <- recallResult{from: member.Incarnation, requests: recalled.Requests, err: err}:
	case <-ctx.Done():
	}
}

// recallOf covers all keys of a shard's range.
func recallOf(way route.Route) message.IDQuery {
	count := 1
	if group, ok := way.Service.GroupNamed(way.Shard.Group); ok {
		count = group.Shards()
	}
	low, high := shard.RangeOf(way.Shard.Index, count)
	return message.IDQuery{Service: way.Shard.Service, Low: low, High: high}
}

// oneDomain reports whether the members all are in one failure domain.
func oneDomain(members map[record.Incarnation]record.Member) bool {
	domains := make(map[string]bool, 1)
	for _, member := range members {
		domains[member.Domain] = true
	}
	return len(domains) <= 1
}
