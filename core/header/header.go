// Package header names pineturn's HTTP headers and says which headers of a
// message are passed on.
package header

import (
	"net/http"
	"strings"
)

// The headers between callers, hosts and targets; docs/PROTOCOLS.md says what
// they mean.
const (
	// Prefix starts the name of each of pineturn's own headers.
	Prefix       = "Pineturn-"
	Service      = "Pineturn-Service"
	Key          = "Pineturn-Key"
	RequestID    = "Pineturn-Request-Id"
	Timeout      = "Pineturn-Timeout"
	Shard        = "Pineturn-Shard"
	Epoch        = "Pineturn-Epoch"
	Term         = "Pineturn-Term"
	Incarnation  = "Pineturn-Incarnation"
	Deadline     = "Pineturn-Deadline"
	EndWithGrant = "Pineturn-End-With-Grant"
	Outcome      = "Pineturn-Outcome"
	Reason       = "Pineturn-Reason"
	Target       = "Pineturn-Target"
	// RetryAfter is in milliseconds, towards callers.
	RetryAfter = "Pineturn-Retry-After-Ms"
	// TargetRetryAfter is in milliseconds, from targets.
	TargetRetryAfter = "Retry-After-Ms"
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
		if hopByHop[canonical] || named[canonical] || strings.HasPrefix(canonical, Prefix) {
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
