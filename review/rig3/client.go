//go:build review3

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// client sends requests of one route to the hosts.
type client struct {
	r       *rig
	path    string
	timeout time.Duration
	http    http.Client
	sent    atomic.Int64
	stop    chan struct{}
}

func newClient(r *rig, path string, timeout time.Duration) *client {
	return &client{r: r, path: path, timeout: timeout, http: http.Client{Timeout: timeout + time.Second}, stop: make(chan struct{})}
}

// send sends a request for a key, which runs for a time, to a host and records its answer.
func (c *client) send(h *host, key int, work time.Duration) {
	id := fmt.Sprintf("%08x%06d", rand.Uint32(), c.sent.Add(1))
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%s?ms=%d", h.front, c.path, work.Milliseconds()), nil)
	if err != nil {
		c.r.rec.line("request %s: %v", id, err)
		return
	}
	req.Host = "site.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	req.Header.Set("X-Shard-Key", strconv.Itoa(key))
	c.r.rec.line("client sends %s to %s: key %d, %d ms of work", id, h.name, key, work.Milliseconds())
	resp, err := c.http.Do(req)
	if err != nil {
		c.r.rec.line("client got no answer to %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.r.rec.line("client got a part of the answer to %s: %v", id, err)
		return
	}
	c.r.rec.line("client got %d to %s", resp.StatusCode, id)
}

// run sends a request for a random key every interval, to the hosts in turn, until the client is stopped.
func (c *client) run(interval, work time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-tick.C:
			go c.send(c.r.hosts[i%len(c.r.hosts)], rand.IntN(keys), work)
		}
	}
}
