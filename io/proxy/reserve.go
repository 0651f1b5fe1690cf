package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/attempt"
)

// ReservePath is the path at which other hosts ask for attempts that this host has kept back.
const ReservePath = "/attempt"

// reserveTimeout limits the time for the answer to a request for a kept attempt. A host that does
// not answer within it has most likely given the request up.
const reserveTimeout = 200 * time.Millisecond

// Outcomes of a request for a kept attempt, as written to logs and metrics.
const (
	reserveGranted = "granted"
	// reserveTaken means that the relaying host has taken the attempt itself, or given up.
	reserveTaken = "taken"
	// reserveUnanswered means that no answer came: the attempt is not used.
	reserveUnanswered = "unanswered"
)

// keptAttempt is an attempt of a relayed request that the relaying host has kept back.
type keptAttempt struct {
	address string
	token   attempt.Token
	// outcome is that of asking for the attempt; empty before.
	outcome string
}

// keptCount returns the number of attempts that the relaying host has kept back, granted or not.
func (q *request) keptCount() int {
	if q.kept == nil {
		return 0
	}
	return 1
}

// formatKept returns the header value that names a kept attempt.
func formatKept(address string, token attempt.Token) string {
	return address + "/" + strconv.FormatUint(uint64(token), 16)
}

// parseKept parses a value that formatKept has returned.
func parseKept(text string) (*keptAttempt, error) {
	address, token, _ := strings.Cut(text, "/")
	number, err := strconv.ParseUint(token, 16, 64)
	if err != nil {
		return nil, errors.Wrap(err, "token of the kept attempt")
	}
	return &keptAttempt{address: address, token: attempt.Token(number)}, nil
}

// acquireAttempt reports whether a request may be sent to one target more. It asks the relaying host
// once this host has used the attempts that it got.
func (p *Proxy) acquireAttempt(ctx context.Context, q *request) bool {
	if q.kept == nil || q.progress.Sends() < q.match.Route.MaxAttempts {
		return true
	}
	if q.kept.outcome == "" {
		q.kept.outcome = p.askFor(ctx, q.kept)
	}
	return q.kept.outcome == reserveGranted
}

// askFor asks the relaying host for a kept attempt.
func (p *Proxy) askFor(ctx context.Context, kept *keptAttempt) string {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+kept.address+ReservePath, http.NoBody)
	if err != nil {
		return reserveUnanswered
	}
	req.Header.Set(headerRelayReserve, formatKept(kept.address, kept.token))
	resp, err := p.peerTransport.RoundTrip(req)
	if err != nil {
		return reserveUnanswered
	}
	discard(resp)
	if resp.StatusCode != http.StatusNoContent {
		return reserveTaken
	}
	return reserveGranted
}

// ReserveHandler returns the HTTP handler for requests for kept attempts: status 204 grants one, 409
// means that it has been taken before.
func (p *Proxy) ReserveHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kept, err := parseKept(r.Header.Get(headerRelayReserve))
		switch {
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		case p.reserve.Take(kept.token):
			w.WriteHeader(http.StatusNoContent)
		default:
			w.WriteHeader(http.StatusConflict)
		}
	})
}

// reservation is the state of a request's attempts when it is relayed.
type reservation struct {
	// before is the number of sends before the relay.
	before int
	// kept is the number of attempts that are kept back, token the token of the one, if any.
	kept  int
	token attempt.Token
	// lost is set once the relay counts as lost, taken once the attempt was taken to send the request again.
	lost, taken bool
}

// reserveAttempt keeps back an attempt of a request that is about to be relayed.
func (p *Proxy) reserveAttempt(q *request) *reservation {
	held := &reservation{before: q.progress.Sends(), kept: attempt.KeptBack(q.attemptRequest(), q.progress.Sends())}
	if held.kept > 0 {
		held.token = p.reserve.Keep()
	}
	return held
}

// takeBack takes the attempt that was kept back of a relayed request, to send it again beside the relay, and counts those
// that the other host may use.
func (p *Proxy) takeBack(q *request, held *reservation) bool {
	if held.kept == 0 || !p.reserve.Take(held.token) {
		return false
	}
	held.taken = true
	p.settleLost(q, held)
	return true
}

// settleLost counts all attempts that the other host may have used, and may still use, of a request
// that was relayed to it.
func (p *Proxy) settleLost(q *request, held *reservation) {
	if held.lost {
		return
	}
	held.lost = true
	q.budgeted = true
	q.lostRelays++
	handed := q.match.Route.MaxAttempts - held.before
	if held.taken || held.kept > 0 && p.reserve.Take(held.token) {
		handed--
	}
	q.progress.RecordSends(held.before + handed - q.progress.Sends())
}
