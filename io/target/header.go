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

// requestHeader returns the header of a request to a target: the end-to-end headers
// of the caller and pineturn's own headers. If endWithGrant is set, the header asks the
// target to abort the request when its grant expires.
func requestHeader(permit route.Permit, req *message.Request, runDeadline time.Time, endWithGrant bool) http.Header {
	fields := header.EndToEnd(req.Header)
	fields[header.RequestID] = []string{req.ID}
	fields[header.Key] = []string{req.Key}
	fields[header.Shard] = []string{req.Shard.String()}
	fields[header.Epoch] = []string{strconv.FormatUint(permit.Epoch, 10)}
	fields[header.Term] = []string{strconv.FormatUint(permit.Token, 10)}
	fields[header.Incarnation] = []string{permit.Incarnation}
	fields[header.Deadline] = []string{strconv.FormatInt(permit.Deadline(runDeadline), 10)}
	if endWithGrant {
		fields[header.EndWithGrant] = []string{"1"}
	}
	if _, ok := fields["User-Agent"]; !ok {
		fields["User-Agent"] = nil
	}
	return fields
}

// responseHeader returns the headers of a target's response that are forwarded.
// Invalid UTF-8 in values is replaced, because messages between hosts carry header
// values as text.
func responseHeader(response *http.Response) http.Header {
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

// regrantDelay is the minimum retry delay after a refusal by a target without a valid
// grant. By then the target may have a valid grant again.
const regrantDelay = 100 * time.Millisecond

// refusal converts the headers of a response with which a target refused to run the
// request.
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
		return outcome.Refuse(outcome.LeaseLost, "target: "+code, max(after, regrantDelay))
	}
	return outcome.Refuse(outcome.TargetFailed, "target: "+strconv.Quote(code), after)
}
