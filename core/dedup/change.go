package dedup

import (
	"crypto/sha256"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// When to come back after a refusal.
const (
	retryNotReady = 100 * time.Millisecond
	retryFull     = time.Second
	retryInFlight = 250 * time.Millisecond
)

// Request names a request that must not be repeated. Window is how long its
// id is remembered. Digest tells its content from that of another request
// that a caller gave the same id; it is needed to begin.
type Request struct {
	Service string
	Key     string
	ID      string
	Window  time.Duration
	Digest  Digest
}

// Digest is the SHA-256 of a request's content.
type Digest [sha256.Size]byte

func (r Request) name() name { return name{r.Service, r.ID} }

// Claim is this host's hold of an id while one attempt is in flight. Finish
// is called once.
type Claim struct {
	memory *Table
	entry  *entry
	send   bool
}

// Forward remembers an id at the host that passes the request on to a
// leaseholder, before it does so. The claim is nil when the memory is full.
func (m *Table) Forward(req Request, holder record.Incarnation) *Claim {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	known := m.ids[req.name()]
	switch {
	case known == nil:
		known = m.add(req.name(), shard.Hash(req.Key), req.Window)
		if known == nil {
			return nil
		}
		known.holder, known.copy = holder, holder
	case known.attempts == 0 && !known.kept:
		// What was forwarded before was not run.
		known.holder, known.mixed, known.copy = holder, false, holder
	case known.holder != holder:
		known.mixed = true
	}
	m.extend(known, req.Window)
	known.attempts++
	return &Claim{memory: m, entry: known}
}

// Begin claims an id at the leaseholder of a shard's target, before it sends
// the request. Without a claim, the kept answer or the error says what to
// tell the caller.
func (m *Table) Begin(req Request, id shard.ID, epoch, term uint64) (*Claim, *Answer, *outcome.Error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	if !m.isReady(id, epoch, term) {
		return nil, nil, outcome.Refuse(outcome.NotReady, "what other hosts have sent is not yet known here", retryNotReady)
	}
	known := m.ids[req.name()]
	if known == nil {
		known = m.add(req.name(), shard.Hash(req.Key), req.Window)
		if known == nil {
			return nil, nil, outcome.Refuse(outcome.Overloaded, "too many ids to remember", retryFull)
		}
	} else if answer, failure := known.duplicate(req.Digest); answer != nil || failure != nil {
		return nil, answer, failure
	}
	m.extend(known, req.Window)
	known.sending, known.begun, known.digest = true, true, req.Digest
	return &Claim{memory: m, entry: known, send: true}, nil, nil
}

// Copied notes that another host remembers the id too.
func (c *Claim) Copied(other record.Incarnation) {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	c.entry.copy = other
}

// Asking notes that another host is asked to remember the id, and returns the
// number of the ask.
func (c *Claim) Asking(other record.Incarnation) uint64 {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	return c.memory.asking(c.entry, other)
}

func (m *Table) asking(known *entry, other record.Incarnation) uint64 {
	known.asked = append(known.asked, other)
	m.sequence++
	return m.sequence
}

// duplicate answers a retry of an id that is in flight or may have run. It
// returns nothing for an id that this host has only forwarded.
func (e *entry) duplicate(digest Digest) (*Answer, *outcome.Error) {
	switch {
	case e.digest != Digest{} && e.digest != digest:
		return nil, outcome.Refuse(outcome.BadRequest, "the request id was used for another request", 0)
	case e.answer != nil:
		return e.answer, nil
	case e.sending:
		failure := outcome.UnknownError(outcome.Duplicate, "the first attempt is in flight")
		failure.RetryAfter = retryInFlight
		return nil, failure
	case e.kept || len(e.sources) > 0:
		return nil, outcome.UnknownError(outcome.Duplicate, "an earlier attempt may have run")
	}
	return nil, nil
}

// Finish ends an attempt. NotRun frees the id, unless another attempt may
// have run; answer, if not nil, is kept for a retry.
func (c *Claim) Finish(result outcome.Outcome, answer *Answer) {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	known := c.entry
	if c.send {
		known.sending = false
		known.begun = result != outcome.NotRun
	} else {
		known.attempts--
	}
	if result != outcome.NotRun {
		known.kept = true
	}
	c.memory.keep(known, answer)
	c.memory.free(known)
}

func (m *Table) keep(known *entry, answer *Answer) {
	if answer == nil || known.answer != nil || len(answer.Body) > MaxAnswer {
		return
	}
	if m.answers+len(answer.Body) > m.options.MostAnswers {
		return
	}
	known.answer = answer
	m.answers += len(answer.Body)
}

// Witness remembers an id for a host that asks, before that sends the request,
// or takes that back when the window is zero. ok is false when the memory is
// full.
func (m *Table) Witness(ask message.Witness) (answer message.WitnessReply, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	key := name{ask.Target.Service, ask.Request}
	known := m.ids[key]
	answer.Known = known != nil
	if ask.Window <= 0 {
		if known != nil {
			known.takeBack(ask)
			m.free(known)
		}
		return answer, true
	}
	if known == nil {
		known = m.add(key, ask.Hash, ask.Window)
	}
	if known == nil {
		return answer, false
	}
	if known.askers == nil {
		known.askers = make(map[record.Incarnation]uint64, 1)
	}
	known.askers[ask.Sender] = max(known.askers[ask.Sender], ask.Sequence)
	if known.copy == (record.Incarnation{}) {
		known.copy = ask.Sender
	}
	m.extend(known, ask.Window)
	return answer, true
}

// takeBack forgets a host's ask, unless it has asked again since.
func (e *entry) takeBack(ask message.Witness) {
	if e.askers[ask.Sender] <= ask.Sequence {
		delete(e.askers, ask.Sender)
	}
}

// Question is what other hosts are asked about the ids of some keys.
type Question struct {
	message.IDQuery
	// number tells it from earlier ones.
	number uint64
}

// Question starts to ask the other hosts about the ids of some keys.
func (m *Table) Question(ask message.IDQuery) Question {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sequence++
	return Question{IDQuery: ask, number: m.sequence}
}

// respondent is a host that is asked about the ids of some keys.
type respondent struct {
	keys message.IDQuery
	host record.Incarnation
}

// isNews reports whether a host's answer is to a later question than all that
// were heard of it before.
func (m *Table) isNews(question Question, source record.Incarnation) bool {
	from := respondent{keys: question.IDQuery, host: source}
	if m.heard[from] > question.number {
		return false
	}
	if len(m.heard) >= maxReady {
		clear(m.heard)
	}
	m.heard[from] = question.number
	return true
}

// Collect takes over what other hosts remember of a shard's keys, and states
// that it is complete for the shard's epoch under a leaseholder's term. The
// questions must have been sent after no earlier leaseholder could send any
// more. An id that an earlier Collect brought is free again when every host
// that remembered it then answers that it does not now. Collect returns false
// when there is no room for all ids; the shard then is not ready.
func (m *Table) Collect(self record.Incarnation, id shard.ID, epoch, term uint64, ask Question, answers map[record.Incarnation][]message.RememberedID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	delete(m.ready, id)
	answers[self] = m.forwarded(self, ask.IDQuery)
	for source, remembered := range answers {
		if source != self && !m.isNews(ask, source) {
			continue
		}
		m.forget(source, ask.IDQuery, remembered)
		for _, request := range remembered {
			if !m.learn(source, ask.Service, request) {
				return false
			}
		}
	}
	if len(m.ready) >= maxReady {
		// Shards that are still in use are collected again.
		clear(m.ready)
	}
	m.ready[id] = tenure{epoch: epoch, term: term}
	return true
}

// forwarded lists the ids that this host itself forwards to other hosts, or
// remembers for them.
func (m *Table) forwarded(self record.Incarnation, ask message.IDQuery) []message.RememberedID {
	now := m.clock.Now()
	var listed []message.RememberedID
	for _, known := range m.expiry {
		elsewhere := known.attempts > 0 && (known.mixed || known.holder != self)
		if known.within(ask) && (elsewhere || len(known.askers) > 0) {
			listed = append(listed, message.RememberedID{Request: known.name.id, Hash: known.hash, Left: known.until.Sub(now)})
		}
	}
	return listed
}

// forget takes a source off the ids that it no longer remembers.
func (m *Table) forget(source record.Incarnation, ask message.IDQuery, remembered []message.RememberedID) {
	still := make(map[string]bool, len(remembered))
	for _, request := range remembered {
		still[request.Request] = true
	}
	var gone []*entry
	for _, known := range m.expiry {
		if known.within(ask) && known.sources[source] && !still[known.name.id] {
			gone = append(gone, known)
		}
	}
	for _, known := range gone {
		delete(known.sources, source)
		m.free(known)
	}
}

func (m *Table) learn(source record.Incarnation, service string, request message.RememberedID) bool {
	if request.Left <= 0 {
		return true
	}
	key := name{service, request.Request}
	known := m.ids[key]
	if known == nil {
		known = m.add(key, request.Hash, request.Left)
	}
	if known == nil {
		return false
	}
	if known.sources == nil {
		known.sources = make(map[record.Incarnation]bool, 1)
	}
	known.sources[source] = true
	if known.copy == (record.Incarnation{}) {
		known.copy = source
	}
	m.extend(known, request.Left)
	return true
}
