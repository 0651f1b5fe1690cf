package dedup

import (
	"crypto/sha256"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// Times after which a refused caller is asked to retry.
const (
	retryNotReady = 100 * time.Millisecond
	retryFull     = time.Second
	retryInFlight = 250 * time.Millisecond
)

// Request identifies a request that must not be repeated. Window is the time for
// which its id is remembered. Digest distinguishes its content from that of another
// request with the same id. Only Begin and Lookup use Digest.
type Request struct {
	Service string
	Key     string
	ID      string
	Window  time.Duration
	Digest  Digest
}

// Digest is the SHA-256 hash of a request's content.
type Digest [sha256.Size]byte

func (r Request) scopedID() scopedID { return scopedID{r.Service, r.ID} }

// Claim reserves an id on this host while one attempt is in flight. Finish is called
// once.
type Claim struct {
	table *Table
	entry *entry
	// send is set if this host sends the request to the target, not if it forwards
	// the request.
	send bool
}

// Forward remembers the id of a request before this host forwards the request to a
// leaseholder. It returns nil if the table is full.
func (t *Table) Forward(req Request, leaseholder record.Incarnation) *Claim {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire()
	e := t.ids[req.scopedID()]
	switch {
	case e == nil:
		e = t.add(req.scopedID(), shard.Hash(req.Key), req.Window)
		if e == nil {
			return nil
		}
		e.leaseholder, e.replica = leaseholder, leaseholder
	case e.forwards == 0 && !e.mayHaveRun:
		// The requests that were forwarded earlier were not run.
		e.leaseholder, e.severalLeaseholders, e.replica = leaseholder, false, leaseholder
	case e.leaseholder != leaseholder:
		e.severalLeaseholders = true
	}
	t.extend(e, req.Window)
	e.forwards++
	return &Claim{table: t, entry: e}
}

// Begin claims an id at the leaseholder of a shard's target, before the leaseholder
// sends the request. If the request must not be sent, Begin returns the stored response
// or the error for the caller instead of a claim.
func (t *Table) Begin(req Request, id shard.ID, epoch, token uint64) (*Claim, *Response, *outcome.Error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire()
	if !t.isReady(id, epoch, token) {
		return nil, nil, outcome.Refuse(outcome.NotReady, "what other hosts have sent is not yet known here", retryNotReady)
	}
	e := t.ids[req.scopedID()]
	if e == nil {
		e = t.add(req.scopedID(), shard.Hash(req.Key), req.Window)
		if e == nil {
			return nil, nil, outcome.Refuse(outcome.Overloaded, "too many ids to remember", retryFull)
		}
	} else if response, failure := e.duplicate(req.Digest); response != nil || failure != nil {
		return nil, response, failure
	}
	t.extend(e, req.Window)
	e.sending, e.sentHere, e.digest = true, true, req.Digest
	return &Claim{table: t, entry: e, send: true}, nil, nil
}

// SetReplica records that another host remembers the id too.
func (c *Claim) SetReplica(host record.Incarnation) {
	c.table.mutex.Lock()
	defer c.table.mutex.Unlock()
	c.entry.replica = host
}

// AddWitness records that a Witness message for the id is about to be sent to another
// host. It returns the sequence number of the message.
func (c *Claim) AddWitness(host record.Incarnation) uint64 {
	c.table.mutex.Lock()
	defer c.table.mutex.Unlock()
	return c.table.addWitness(c.entry, host)
}

func (t *Table) addWitness(e *entry, host record.Incarnation) uint64 {
	e.witnesses = append(e.witnesses, host)
	t.sequence++
	return t.sequence
}

// duplicate returns the result of a retry whose id is in flight or may have run. It
// returns nil, nil if this host has only forwarded the id.
func (e *entry) duplicate(digest Digest) (*Response, *outcome.Error) {
	switch {
	case e.digest != Digest{} && e.digest != digest:
		return nil, outcome.Refuse(outcome.BadRequest, "the request id was used for another request", 0)
	case e.response != nil:
		return e.response, nil
	case e.sending:
		failure := outcome.UnknownError(outcome.Duplicate, "the first attempt is in flight")
		failure.RetryAfter = retryInFlight
		return nil, failure
	case e.mayHaveRun || len(e.collectedFrom) > 0:
		return nil, outcome.UnknownError(outcome.Duplicate, "an earlier attempt may have run")
	}
	return nil, nil
}

// Finish ends an attempt. NotRun releases the id unless another attempt may have run.
// A non-nil response is stored for retries.
func (c *Claim) Finish(result outcome.Outcome, response *Response) {
	c.table.mutex.Lock()
	defer c.table.mutex.Unlock()
	e := c.entry
	if c.send {
		e.sending = false
		e.sentHere = result != outcome.NotRun
	} else {
		e.forwards--
	}
	if result != outcome.NotRun {
		e.mayHaveRun = true
	}
	c.table.storeResponse(e, response)
	c.table.release(e)
}

func (t *Table) storeResponse(e *entry, response *Response) {
	if response == nil || e.response != nil || len(response.Body) > MaxResponseBytes {
		return
	}
	if t.responseBytes+len(response.Body) > t.options.MaxTotalResponseBytes {
		return
	}
	e.response = response
	t.responseBytes += len(response.Body)
}

// Witness remembers an id for another host, which sends the request only after that.
// A witness message with a zero window revokes an earlier one. ok is false if the
// table is full.
func (t *Table) Witness(witness message.Witness) (reply message.WitnessReply, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire()
	id := scopedID{witness.Target.Service, witness.Request}
	e := t.ids[id]
	reply.Known = e != nil
	if witness.Window <= 0 {
		if e != nil {
			e.revoke(witness)
			t.release(e)
		}
		return reply, true
	}
	if e == nil {
		e = t.add(id, witness.Hash, witness.Window)
	}
	if e == nil {
		return reply, false
	}
	if e.witnessFor == nil {
		e.witnessFor = make(map[record.Incarnation]uint64, 1)
	}
	e.witnessFor[witness.Sender] = max(e.witnessFor[witness.Sender], witness.Sequence)
	if e.replica == (record.Incarnation{}) {
		e.replica = witness.Sender
	}
	t.extend(e, witness.Window)
	return reply, true
}

// revoke removes the sender's witness message, unless a later one was received.
func (e *entry) revoke(witness message.Witness) {
	if e.witnessFor[witness.Sender] <= witness.Sequence {
		delete(e.witnessFor, witness.Sender)
	}
}

// Query is one round of queries to other hosts for the ids of a range of keys.
type Query struct {
	message.IDQuery
	// number increases with each Query.
	number uint64
}

// NewQuery returns a Query with the next number. It is called before the query is
// sent to other hosts.
func (t *Table) NewQuery(query message.IDQuery) Query {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sequence++
	return Query{IDQuery: query, number: t.sequence}
}

// querySource identifies the replies of one host for one range of keys.
type querySource struct {
	query message.IDQuery
	host  record.Incarnation
}

// isNewest reports whether a host's reply belongs to the latest query that the host
// has replied to so far, and records the query as such.
func (t *Table) isNewest(query Query, host record.Incarnation) bool {
	source := querySource{query: query.IDQuery, host: host}
	if t.latestReply[source] > query.number {
		return false
	}
	if len(t.latestReply) >= maxReadyShards {
		clear(t.latestReply)
	}
	t.latestReply[source] = query.number
	return true
}

// Collect adds the ids that other hosts remember for a shard's keys, and marks the
// shard as ready for its epoch and its leaseholder's token. The queries must have been
// sent when no earlier leaseholder was able to send requests any more. An id that was
// added by an earlier Collect is released once each host that remembered it replies
// without it. Collect returns false if the table has no room for all ids; the shard
// is then not ready.
func (t *Table) Collect(self record.Incarnation, id shard.ID, epoch, token uint64, query Query, replies map[record.Incarnation][]message.RememberedID) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire()
	delete(t.ready, id)
	replies[self] = t.forwarded(self, query.IDQuery)
	for source, remembered := range replies {
		if source != self && !t.isNewest(query, source) {
			continue
		}
		t.removeSource(source, query.IDQuery, remembered)
		for _, request := range remembered {
			if !t.addSource(source, query.Service, request) {
				return false
			}
		}
	}
	if len(t.ready) >= maxReadyShards {
		// The ids of shards that are still in use are collected again.
		clear(t.ready)
	}
	t.ready[id] = ownership{epoch: epoch, token: token}
	return true
}

// forwarded returns the ids that this host forwards to other hosts or remembers for
// them.
func (t *Table) forwarded(self record.Incarnation, query message.IDQuery) []message.RememberedID {
	now := t.clock.Now()
	var listed []message.RememberedID
	for _, e := range t.expiry {
		toOthers := e.forwards > 0 && (e.severalLeaseholders || e.leaseholder != self)
		if e.matches(query) && (toOthers || len(e.witnessFor) > 0) {
			listed = append(listed, message.RememberedID{Request: e.id.id, Hash: e.keyHash, Left: e.expires.Sub(now)})
		}
	}
	return listed
}

// removeSource removes a source from the ids that it no longer remembers.
func (t *Table) removeSource(source record.Incarnation, query message.IDQuery, remembered []message.RememberedID) {
	still := make(map[string]bool, len(remembered))
	for _, request := range remembered {
		still[request.Request] = true
	}
	var removed []*entry
	for _, e := range t.expiry {
		if e.matches(query) && e.collectedFrom[source] && !still[e.id.id] {
			removed = append(removed, e)
		}
	}
	for _, e := range removed {
		delete(e.collectedFrom, source)
		t.release(e)
	}
}

// addSource adds a source to an id that it remembers. It returns false if the table is
// full.
func (t *Table) addSource(source record.Incarnation, service string, request message.RememberedID) bool {
	if request.Left <= 0 {
		return true
	}
	id := scopedID{service, request.Request}
	e := t.ids[id]
	if e == nil {
		e = t.add(id, request.Hash, request.Left)
	}
	if e == nil {
		return false
	}
	if e.collectedFrom == nil {
		e.collectedFrom = make(map[record.Incarnation]bool, 1)
	}
	e.collectedFrom[source] = true
	if e.replica == (record.Incarnation{}) {
		e.replica = source
	}
	t.extend(e, request.Left)
	return true
}
