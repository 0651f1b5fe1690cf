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

// lookup looks for an earlier attempt before the request waits for a slot. It also
// collects the ids that other hosts remember for the shard, if that was not done yet.
func (r *targetRequest) lookup(ctx context.Context) (*dedup.Response, *outcome.Error) {
	table := r.leaseholder.Dedup
	stored, failure := table.Lookup(requestWithDigest(r.route, &r.req))
	if stored != nil || failure != nil || table.Ready(r.req.Shard, r.route.Epoch, r.route.Token) {
		return stored, failure
	}
	if failure := r.acquirePermit(); failure != nil || table.Ready(r.req.Shard, r.permit.Epoch, r.permit.Token) {
		return nil, failure
	}
	return nil, r.collect(ctx, "")
}

// claimID claims the id of a request that must not be repeated, and replicates the id
// to another host, see replicateID. The permit was acquired before, so that no
// earlier leaseholder can send the request any more.
func (r *targetRequest) claimID(ctx context.Context) (*dedup.Response, *outcome.Error) {
	table, req := r.leaseholder.Dedup, requestWithDigest(r.route, &r.req)
	if !table.Ready(r.req.Shard, r.permit.Epoch, r.permit.Token) {
		if failure := r.collectAndRenewPermit(ctx, ""); failure != nil {
			return nil, failure
		}
	}
	if table.OnlyCollected(req.Service, req.ID) {
		// The other hosts may have been queried before this attempt, while an
		// earlier one was still in flight.
		if failure := r.collectAndRenewPermit(ctx, req.ID); failure != nil {
			return nil, failure
		}
	}
	claim, stored, failure := table.Begin(req, r.req.Shard, r.permit.Epoch, r.permit.Token)
	if stored != nil || failure != nil {
		return stored, failure
	}
	r.claim = claim
	return nil, r.replicateID(ctx)
}

// requestWithDigest returns the identification of a request that must not be repeated,
// with the digest of its content.
func requestWithDigest(rt route.Route, req *message.Request) dedup.Request {
	identified := dedupRequest(rt, req)
	hash := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Key} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	_, _ = hash.Write(req.Body)
	hash.Sum(identified.Digest[:0])
	return identified
}

// collectAndRenewPermit collects with the current permit, and then acquires a new one.
// The current permit may be invalid after the collection.
func (r *targetRequest) collectAndRenewPermit(ctx context.Context, forID string) *outcome.Error {
	if failure := r.collect(ctx, forID); failure != nil {
		return failure
	}
	return r.acquirePermit()
}

// collect collects the ids that the other hosts remember for the shard. Concurrent
// requests share one collection, in which the hosts may have been queried before the
// call. With a non-empty forID, the collection is shared only with requests of that
// id, so that the hosts are queried after the call. The request must have a permit.
func (r *targetRequest) collect(ctx context.Context, forID string) *outcome.Error {
	id, epoch, token := r.req.Shard, r.permit.Epoch, r.permit.Token
	collection := fmt.Sprintf("%s@%d.%d/%s", id, epoch, token, forID)
	rt := r.route
	result := r.leaseholder.collections.DoChan(collection, func() (any, error) {
		return nil, r.leaseholder.collect(rt, epoch, token)
	})
	select {
	case <-ctx.Done():
		return outcome.Refuse(outcome.NotReady, "what other hosts have sent is not yet known here", retryNotReplicated)
	case got := <-result:
		if got.Err != nil {
			return outcome.Refuse(outcome.NotReady, got.Err.Error(), retryNotReplicated)
		}
	}
	return nil
}

// collect collects the ids that all members remember for a shard's keys. Each id is
// remembered in two failure domains, so the replies of the members of one domain may
// be missing. When all other members have replied, these replies are awaited for
// collectGrace.
func (l *Leaseholder) collect(rt route.Route, epoch, token uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	query := l.Dedup.NewQuery(shardQuery(rt))
	pending := make(map[record.Incarnation]record.Member)
	results := make(chan queryResult)
	for _, member := range l.Members() {
		if member.Incarnation != l.Self.Incarnation {
			pending[member.Incarnation] = member
			go l.queryMember(ctx, member, query.IDQuery, results)
		}
	}
	replies := make(map[record.Incarnation][]message.RememberedID, len(pending))
	var late <-chan time.Time
	for awaited := len(pending); awaited > 0; awaited-- {
		if late == nil && inOneDomain(pending) {
			late = time.After(collectGrace)
		}
		select {
		case result := <-results:
			if result.err == nil {
				delete(pending, result.from)
				replies[result.from] = result.requests
			}
		case <-late:
			awaited = 0
		case <-ctx.Done():
			awaited = 0
		}
	}
	if !inOneDomain(pending) {
		return fmt.Errorf("%d hosts in several failure domains did not say what they have sent", len(pending))
	}
	if !l.Dedup.Collect(l.Self.Incarnation, rt.Shard, epoch, token, query, replies) {
		return fmt.Errorf("too many ids to remember")
	}
	return nil
}

// queryResult is the result of QueryIDs at one host.
type queryResult struct {
	from     record.Incarnation
	requests []message.RememberedID
	err      error
}

func (l *Leaseholder) queryMember(ctx context.Context, member record.Member, query message.IDQuery, results chan<- queryResult) {
	reply, err := l.QueryIDs(ctx, member, query)
	select {
	case results <- queryResult{from: member.Incarnation, requests: reply.Requests, err: err}:
	case <-ctx.Done():
	}
}

// shardQuery returns the query for all keys of a route's shard.
func shardQuery(rt route.Route) message.IDQuery {
	count := 1
	if group, ok := rt.Service.GroupNamed(rt.Shard.Group); ok {
		count = group.Shards()
	}
	low, high := shard.RangeOf(rt.Shard.Index, count)
	return message.IDQuery{Service: rt.Shard.Service, Low: low, High: high}
}

// inOneDomain reports whether all members are in the same failure domain. It returns
// true if there are no members.
func inOneDomain(members map[record.Incarnation]record.Member) bool {
	domains := make(map[string]bool, 1)
	for _, member := range members {
		domains[member.Domain] = true
	}
	return len(domains) <= 1
}
