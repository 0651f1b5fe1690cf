package proxy

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/io/http1"
	"pineturn/io/socket"
)

// A target may write a refusal once more, late. Without a request id, the copy looks like the answer to whatever
// waits on its connection. It can only be a copy if the connection has carried a refusal before: such a
// connection is closed. A target that mixes up its connections could write a copy on another one, so
// that requests which must not run twice get connections of their own for some time after a refusal.
//
// With a request id, the copy looks like the answer to a further send of the same request. Such a send to the same
// target gets a connection of its own if the request must not run twice.

// copyTime is how long after a refusal without a request id a target may write it once more.
const copyTime = 15 * time.Second

var errRepeatedRefusal = errors.New("refusal without a request id may be a copy of an earlier one")

// transport returns the transport for a send of a request to a target.
func (p *Proxy) transport(q *request, target string, now time.Time) http1.Transport {
	if !q.match.Route.Idempotent && (slices.Contains(q.refusedBy, target) || p.pool.refusedLately(target, now)) {
		return p.pool.single(target)
	}
	return p.pool.Get(target)
}

// checkRefusal returns an error if a response is a refusal that may be the answer to an earlier
// request.
func (p *Proxy) checkRefusal(q *request, target string, r *response, use *socket.Use) error {
	if !r.info.NotRun || r.info.ID != "" {
		return nil
	}
	if use.Mark() {
		return errRepeatedRefusal
	}
	refusedBefore := p.pool.recordRefusal(target, p.clock.Now())
	if refusedBefore && use.Reused() && !q.match.Route.Idempotent {
		return errRepeatedRefusal
	}
	return nil
}
