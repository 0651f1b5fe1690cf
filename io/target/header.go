package target

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"pineturn/core/header"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/route"
)

// requestHeader is what a target gets: the caller's own header and pineturn's.
func requestHeader(permit route.Permit, req *message.Request, deadline time.Time, endWithGrant bool) http.Header {
	fields := header.EndToEnd(req.Header)
	fields[header.RequestID] = []string{req.ID}
	fields[header.Key] = []string{req.Key}
	fields[header.Shard] = []string{req.Shard.String()}
	fields[header.Epoch] = []string{strconv.FormatUint(permit.Epoch, 10)}
	fields[header.Term] = []string{strconv.FormatUint(permit.Term, 10)}
	fields[header.Incarnation] = []string{permit.Incarnation}
	fields[header.Deadline] = []string{strconv.FormatInt(permit.Deadline(deadline), 10)}
	if endWithGrant {
		fields[header.EndWithGrant] = []string{"1"}
	}
	if _, ok := fields["User-Agent"]; !ok {
		fields["User-Agent"] = nil
	}
	return fields
}

// answerHeader is the part of a target's header that is passed on. Bytes that
// are not UTF-8 are replaced, as hosts pass text on.
func answerHeader(response *http.Response) http.Header {
	fields := header.EndToEnd(response.Header)
	for _, values := range fields {
		for i, value := range values {
			values[i] = strings.ToValidUTF8(value, "\uFFFD")
		}
	}
	if length := response.Header["Content-Length"]; len(length) > 0 {
		fields["Content-Length"] = length
	}
	return fields
}

// regrant is when a target that holds no valid grant may hold one again.
const regrant = 100 * time.Millisecond

// refusal reads a target's own statement that it did not run the request.
func refusal(fields http.Header) *outcome.Error {
	code := fields.Get(header.Reason)
	after := time.Duration(0)
	if ms, err := strconv.ParseInt(fields.Get(header.TargetRetryAfter), 10, 32); err == nil && ms > 0 {
		after = time.Duration(ms) * time.Millisecond
	}
	switch reason := outcome.Reason(code); reason {
	case outcome.Shed, outcome.Draining, outcome.DeadlineExceeded:
		return outcome.Refuse(reason, "refused by the target", after)
	}
	switch code {
	case StaleTerm, WrongIncarnation, notOwner:
		return outcome.Refuse(outcome.LeaseLost, "target: "+code, max(after, regrant))
	}
	return outcome.Refuse(outcome.TargetFailed, "target: "+strconv.Quote(code), after)
}
