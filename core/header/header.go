// Package header defines the names of pineturn's HTTP headers and selects the
// headers of a message that are forwarded.
package header

import (
	"net/http"
	"strings"
)

// The headers between callers, hosts and targets. docs/PROTOCOLS.md specifies
// them.
const (
	// Prefix is the common prefix of pineturn's own headers.
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
	// RetryAfter is the retry delay for callers, in milliseconds.
	RetryAfter = "Pineturn-Retry-After-Ms"
	// TargetRetryAfter is the retry delay that a target requests, in
	// milliseconds.
	TargetRetryAfter = "Retry-After-Ms"
)

// notForwarded lists the headers that are not forwarded: those that apply to a
// single hop, and Expect, Host and Content-Length.
var notForwarded = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Host": true, "Content-Length": true,
}

// EndToEnd returns a copy of header without the headers of notForwarded, without those
// that the Connection header lists, and without pineturn's own headers, which
// callers must not be able to set on requests to targets.
func EndToEnd(header http.Header) http.Header {
	options := connectionOptions(header)
	kept := make(http.Header, len(header)+8)
	for name, values := range header {
		canonical := http.CanonicalHeaderKey(name)
		if notForwarded[canonical] || options[canonical] || strings.HasPrefix(canonical, Prefix) {
			continue
		}
		kept[canonical] = values
	}
	return kept
}

// connectionOptions returns the canonical names that the Connection header lists.
func connectionOptions(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	options := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			options[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}
