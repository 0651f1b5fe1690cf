package poison

import "time"

const (
	// responseMemory is how long a response to a request is remembered. A target that ended
	// under the request meanwhile has another reason.
	responseMemory = time.Minute
	// maxResponses bounds the requests of which a response is remembered.
	maxResponses = 4096
)

// response is the last response of a target to a request.
type response struct {
	version string
	at      time.Time
}

// responded reports whether a target of a version has responded to a request after some time, or
// shortly before. The caller holds mu.
func (t *Tracker) responded(f Fingerprint, version string, at time.Time) bool {
	r, ok := t.responses[f]
	return ok && r.version == version && at.Sub(r.at) <= responseMemory
}

// Responded records that a target of a version has responded to a request, which it has run.
func (t *Tracker) Responded(f Fingerprint, version string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remember(f, response{version: version, at: now})
	t.contest(f, now)
}

// remember remembers the last response to a request. The caller holds mu.
func (t *Tracker) remember(f Fingerprint, r response) {
	known, ok := t.responses[f]
	if ok && known.at.After(r.at) {
		return
	}
	t.responses[f] = r
	if ok {
		return
	}
	t.responseOrder = append(t.responseOrder, f)
	if len(t.responseOrder) > maxResponses {
		delete(t.responses, t.responseOrder[0])
		t.responseOrder = t.responseOrder[1:]
	}
}
