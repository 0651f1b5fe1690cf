package target

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/route"
)

// The headers of requests and answers.
const (
	headerPrefix       = "Pineturn-"
	headerRequestID    = "Pineturn-Request-Id"
	headerKey          = "Pineturn-Key"
	headerShard        = "Pineturn-Shard"
	headerEpoch        = "Pineturn-Epoch"
	headerTerm         = "Pineturn-Term"
	headerIncarnation  = "Pineturn-Incarnation"
	headerDeadline     = "Pineturn-Deadline"
	headerEndWithGrant = "Pineturn-End-With-Grant"
	headerOutcome      = "Pineturn-Outcome"
	headerReason       = "Pineturn-Reason"
	headerRetryAfterMs = "Retry-After-Ms"
)

// hopByHop lists the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Host": true, "Content-Length": true,
}

// EndToEnd returns a copy of header without the headers of one connection and
// without pineturn's own, which no caller may set towards a target.
func EndToEnd(header http.Header) http.Header {
	named := connectionNames(header)
	kept := make(http.Header, len(header)+8)
	for name, values := range header {
		canonical := http.CanonicalHeaderKey(name)
		if hopByHop[canonical] || named[canonical] || strings.HasPrefix(canonical, headerPrefix) {
			continue
		}
		kept[canonical] = values
	}
	return kept
}

func connectionNames(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

func requestHeader(permit route.Permit, req *message.Request, deadline time.Time, endWithGrant bool) http.Header {
	header := EndToEnd(req.Header)
	header[headerRequestID] = []string{req.ID}
	header[headerKey] = []string{req.Key}
	header[headerShard] = []string{req.Shard.String()}
	header[headerEpoch] = []string{strconv.FormatUint(permit.Epoch, 10)}
	header[headerTerm] = []string{strconv.FormatUint(permit.Term, 10)}
	header[headerIncarnation] = []string{permit.Incarnation}
	header[headerDeadline] = []string{strconv.FormatInt(permit.Deadline(deadline), 10)}
	if endWithGrant {
		header[headerEndWithGrant] = []string{"1"}
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	return header
}

// refusal reads a target's own statement that it did not run the request.
func refusal(header http.Header) *outcome.Error {
	code := header.Get(headerReason)
	after := time.Duration(0)
	if ms, err := strconv.ParseInt(header.Get(headerRetryAfterMs), 10, 32); err == nil && ms > 0 {
		after = time.Duration(ms) * time.Millisecond
	}
	switch reason := outcome.Reason(code); reason {
	case outcome.Shed, outcome.Draining, outcome.DeadlineExceeded:
		return outcome.Refuse(reason, "refused by the target", after)
	}
	switch code {
	case StaleTerm, WrongIncarnation, "not-owner":
		return outcome.Refuse(outcome.LeaseLost, "target: "+code, after)
	}
	return outcome.Refuse(outcome.TargetFailed, "target: "+strconv.Quote(code), after)
}
