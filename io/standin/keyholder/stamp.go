package keyholder

import (
	"net/http"
	"strconv"
	"time"
)

// SetRequestHeaders sets the headers of a caller's request. The key is empty for none.
func SetRequestHeaders(h http.Header, id string, patience time.Duration, key string) {
	h.Set("X-Request-Id", id)
	h.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	if key != "" {
		h.Set("X-Shard-Key", key)
	}
}

// ResponseHeaders returns the id of the request that an answer is for, and the target's
// signature.
func ResponseHeaders(h http.Header) (id, signature string) {
	return h.Get("X-Request-Id"), h.Get("X-Response-Signature")
}
