package poison

import "time"

const (
	// responseMemory is how long a response to a request is remembered. A target that ended
	// under the request meanwhile has another reason.
	responseMemory = time.Minute
	// maxResponses bounds the requests of which a response is remembered.
	maxResponses = 4096
)

// responder is a request with the version of targets that respond to it.
type responder struct {
	request Fingerprint
	version string
}

// responded reports whether a target of a version has responded to a request after some time, or
// shortly before. The caller holds mu.
func (t *Tracker) responded(f Fingerprint, version string, at time.Time) bool {
	last, ok := t.responses[responder{f, version}]
	return ok && at.Sub(last) <= responseMemory
}

// Responded records that a target of a version has responded to a request, which it has run.
func (t *Tracker) Responded(f Fingerprint, version string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := responder{f, version}
	t.remember(r, now)
	t.contest(r, now)
}

// remember remembers the last response of a version to a request. The caller holds mu.
func (t *Tracker) remember(r responder, at time.Time) {
	last, ok := t.responses[r]
	if ok && last.After(at) {
		return
	}
	t.responses[r] = at
	if ok {
		return
	}
	t.responseOrder = append(t.responseOrder, r)
	if len(t.responseOrder) > maxResponses {
		delete(t.responses, t.responseOrder[0])
		t.responseOrder = t.responseOrder[1:]
	}
}
