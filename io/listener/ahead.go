package listener

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"
)

const (
	// maxAhead is the number of bytes that are read of a caller beyond the request that is being
	// handled.
	maxAhead = 16 << 10
	// maxHead is the size of a request's head, in bytes, up to which it is looked at. The server
	// has a limit of its own.
	maxHead = 64 << 10
	// readSize is the size of one read, in bytes.
	readSize = 4 << 10
	// maxEarly is the number of requests of one connection that are begun early.
	maxEarly = 8
)

// tlsHandshake is the first byte of a connection under TLS.
const tlsHandshake = 0x16

var headEnd = []byte("\r\n\r\n")

// ahead splits what a caller sends into requests, and gives the server one request at a time. What
// is read beyond it are requests that the caller has sent without waiting for the response
// (pipelining): those that may be are begun early, while the server handles the one before them.
// It is guarded by the lock of its connection.
type ahead struct {
	// begin begins a request early, whose head has arrived at a time.
	begin func(r *http.Request, arrived time.Time) *early
	// mayBreakOff reports whether the response to a request may be broken off, which ends the connection; nil for none.
	mayBreakOff func(*http.Request) bool
	// blocked is set while that is so for the last request that has begun: none is begun early behind it.
	blocked bool
	// plain is set once the requests can't be told apart. All is passed on from then on.
	plain bool
	// buffered holds what was read and not passed on, scanned the number of its bytes that belong
	// to requests that were begun early. arrivals tells when they were read.
	buffered []byte
	scanned  int
	arrivals arrivals
	// head is what was passed on of the current request's head. whole is set once that is all of
	// it, which was read at the time arrived, and body then knows how much of its body was not passed on.
	head    []byte
	whole   bool
	arrived time.Time
	body    requestBody
	// queue holds the requests that were begun early, in the order of the caller.
	queue []*early
	// current is the number of the current request on its connection, lastEarly that of the last
	// one that was begun early. Two requests may be the same, byte for byte.
	current, lastEarly int
}

// next prepares for the next request.
func (a *ahead) next() {
	a.head, a.whole, a.arrived, a.body = a.head[:0], false, time.Time{}, requestBody{}
	a.current++
}

// add adds data that was read at a time.
func (a *ahead) add(data []byte, at time.Time) {
	a.buffered = append(a.buffered, data...)
	a.arrivals.add(len(data), at)
}

// pending reports whether data is buffered, or requests have been begun early.
func (a *ahead) pending() bool { return len(a.buffered) > 0 || len(a.queue) > 0 }

// deliver passes on buffered bytes that belong to the current request. It returns 0 if there are
// none.
func (a *ahead) deliver(data []byte) int {
	limit := min(len(a.buffered), len(data))
	switch {
	case a.plain:
	case a.whole:
		limit = a.passBody(limit)
	default:
		limit = a.passHead(limit)
	}
	n := copy(data, a.buffered[:limit])
	a.buffered = append(a.buffered[:0], a.buffered[n:]...)
	a.arrivals.drop(n)
	a.scanned = max(a.scanned-n, 0)
	return n
}

// passHead adds up to limit buffered bytes to the current head and returns how many belong to it.
func (a *ahead) passHead(limit int) int {
	known := len(a.head)
	if known == 0 && limit > 0 && a.buffered[0] == tlsHandshake {
		a.plain = true
		return limit
	}
	a.head = append(a.head, a.buffered[:limit]...)
	end := bytes.Index(a.head[max(known-len(headEnd)+1, 0):], headEnd)
	if end < 0 {
		a.plain = len(a.head) > maxHead
		return limit
	}
	a.head = a.head[:max(known-len(headEnd)+1, 0)+end+len(headEnd)]
	r, ok := parseHead(a.head)
	if ok {
		a.body, ok = newRequestBody(r)
	}
	if !ok {
		a.plain = true
		return limit
	}
	a.whole, a.arrived = true, a.arrivals.of(len(a.head)-known-1)
	if a.lastEarly <= a.current {
		a.blocked = a.breaksOff(r)
	}
	return len(a.head) - known
}

// passBody returns how many of up to limit buffered bytes belong to the current body.
func (a *ahead) passBody(limit int) int {
	n := a.body.pass(a.buffered[:limit])
	a.plain = a.body.broken
	if a.plain {
		return limit
	}
	return n
}

// missing returns the number of bytes that may be read and surely belong to the current request, readSize
// if that isn't known.
func (a *ahead) missing() int {
	if !a.whole || a.plain {
		return readSize
	}
	return int(min(a.body.least(), readSize))
}

// parseHead parses the head of a request. It returns false for one of which the server may see
// another end.
func parseHead(head []byte) (*http.Request, bool) {
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) || head[0] == '\r' {
		return nil, false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	return r, err == nil
}

// beginEarly begins the buffered requests that follow the current one, up to the first that can't
// be begun early.
func (a *ahead) beginEarly() {
	for !a.plain && !a.blocked && len(a.queue) < maxEarly {
		end := bytes.Index(a.buffered[a.scanned:], headEnd)
		if end < 0 {
			return
		}
		head := a.buffered[a.scanned : a.scanned+end+len(headEnd)]
		r, ok := parseHead(head)
		if !ok || !repeatable(r) {
			return
		}
		e := a.begin(r, a.arrivals.of(a.scanned+len(head)-1))
		if e == nil {
			return
		}
		a.lastEarly = max(a.lastEarly, a.current) + 1
		e.head, e.number = bytes.Clone(head), a.lastEarly
		a.queue, a.blocked = append(a.queue, e), a.breaksOff(r)
		a.scanned += len(head)
	}
}

func (a *ahead) breaksOff(r *http.Request) bool { return a.mayBreakOff != nil && a.mayBreakOff(r) }

// repeatable reports whether a request may be begun although its response may never be delivered,
// as far as its head shows: it has no body, and its method is safe. The caller sends it again if the
// connection ends.
func repeatable(r *http.Request) bool {
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	return safe && r.ProtoAtLeast(1, 1) && r.Host != "" && r.ContentLength == 0 && len(r.TransferEncoding) == 0 &&
		keepsAlive(r.Header) && r.Header.Get("Upgrade") == "" && r.Header.Get("Expect") == ""
}

// keepsAlive reports whether a request asks for nothing of its connection but to be kept, which is the default.
func keepsAlive(h http.Header) bool {
	for _, value := range h["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			if token = textproto.TrimString(token); token != "" && !strings.EqualFold(token, "keep-alive") {
				return false
			}
		}
	}
	return true
}

// take returns the current request as it was begun early, or nil.
func (a *ahead) take() *early {
	if len(a.queue) == 0 || !a.whole {
		return nil
	}
	e := a.queue[0]
	if e.number != a.current || !bytes.Equal(e.head, a.head) {
		return nil
	}
	a.queue = a.queue[1:]
	return e
}

// follow reports whether a whole request after the current one has been read.
func (a *ahead) follow() bool {
	if a.plain {
		return false
	}
	body := a.body
	body.line = slices.Clone(body.line)
	return a.lastEarly > a.current || startsWhole(a.buffered[body.pass(a.buffered):])
}

// startsWhole reports whether data starts with a whole request.
func startsWhole(data []byte) bool {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		return false
	}
	end += len(headEnd)
	r, ok := parseHead(data[:end])
	if !ok {
		return false
	}
	body, ok := newRequestBody(r)
	if !ok {
		return false
	}
	body.pass(data[end:])
	return body.ended()
}

// cancel cancels the requests that were begun early.
func (a *ahead) cancel() {
	for _, e := range a.queue {
		e.cancel()
	}
}

// BeginEarly has the requests that callers send without waiting for a response handled at once by
// handler, if they are idempotent. The responses are still sent in their order, by the handler that
// BeginEarly returns. It must be called before the server serves.
func (l *Listener) BeginEarly(handler http.Handler, idempotent func(*http.Request) bool) http.Handler {
	l.early, l.idempotent, l.split = handler, idempotent, true
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e := takeEarly(r.Context())
		if e == nil {
			handler.ServeHTTP(w, r)
			return
		}
		stop := context.AfterFunc(r.Context(), e.cancel)
		defer stop()
		e.respond(w)
	})
}

// StopEarly begins no further requests early.
func (l *Listener) StopEarly() { l.earlyStopped.Store(true) }

func takeEarly(ctx context.Context) *early {
	c, ok := callerConn(ctx)
	if !ok || c.ahead == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.take()
}
