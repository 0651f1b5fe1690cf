package keyholder

import (
	"net/http"
	"strconv"
	"time"
)

// SetRequestHeaders sets the headers of a caller's request: its ID, its timeout
// (sent in milliseconds) and its key. An empty key sets no key header.
func SetRequestHeaders(h http.Header, id string, timeout time.Duration, key string) {
	h.Set("X-Request-Id", id)
	h.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if key != "" {
		h.Set("X-Shard-Key", key)
	}
}

// ResponseHeaders returns the ID of the request that a response belongs to, and
// the target's signature. Absent headers are returned as empty strings.
func ResponseHeaders(h http.Header) (id, signature string) {
	return h.Get("X-Request-Id"), h.Get("X-Response-Signature")
}
