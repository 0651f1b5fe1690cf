//go:build review2

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the id of a caller's request.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// caller sends requests to a host over kept connections.
type caller struct {
	host      *host
	transport *http.Transport
}

func newCaller(h *host) *caller {
	return &caller{host: h, transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}
}

// answer is what a caller got. status is 0 if the connection ended without an answer.
type answer struct {
	id     string
	host   string
	sent   time.Time
	ended  time.Time
	status int
	signed bool
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	return fmt.Sprintf("request %s sent to %s at %s, answered %d at %s", a.id, a.host, a.sent.Format(clockForm), a.status, a.ended.Format(clockForm))
}

// send sends a request with a key, negative for none, and returns what comes back.
func (c *caller) send(ctx context.Context, method, path string, key int, deadline time.Duration, body []byte) (a answer) {
	a = answer{id: newID(), host: c.host.name, sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.front+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.GetBody = nil
	r.Host = callerHost
	r.Header.Set("X-Gate", c.host.name)
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key >= 0 {
		r.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.body, a.err = io.ReadAll(resp.Body)
	if a.err == nil {
		a.header = resp.Header
		a.status, a.signed = resp.StatusCode, resp.Header.Get("X-Response-Signature") != ""
	}
	return a
}
