package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// attempt is a request of a client and what came of it.
type attempt struct {
	id     string
	key    int
	sent   time.Time
	status int
	err    error
	after  time.Duration
}

// client sends one request after the other to a host.
type client struct {
	bed      *bed
	host     *host
	method   string
	path     string
	key      int
	deadline time.Duration
	body     []byte
	http     *http.Client

	mu       sync.Mutex
	attempts []*attempt
}

func (b *bed) newClient(h *host, method, path string, key int, deadline time.Duration, body []byte) *client {
	return &client{
		bed: b, host: h, method: method, path: path, key: key, deadline: deadline, body: body,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: deadline},
	}
}

// send sends one request and waits for its answer.
func (c *client) send() *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), key: c.key, sent: time.Now()}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	var body io.Reader
	if len(c.body) > 0 {
		body = bytes.NewReader(c.body)
	}
	req, err := http.NewRequest(c.method, "http://"+c.host.front+c.path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil
	req.Host = hostName
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.key >= 0 {
		req.Header.Set("X-Shard-Key", strconv.Itoa(c.key))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		c.bed.record.printf("client: %s key %d at %s: %v", a.id, c.key, c.host.name, err)
		return a
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	a.status, a.err = resp.StatusCode, err
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.after = time.Duration(s * float64(time.Second))
	}
	c.bed.record.printf("client: %s key %d at %s is answered %d, signature %q, after %v", a.id, c.key, c.host.name, a.status, resp.Header.Get("X-Response-Signature"), time.Since(a.sent).Round(time.Millisecond))
	return a
}

// loop sends requests until stop is closed. It waits for as long as a refusal says.
func (c *client) loop(stop <-chan struct{}, pause time.Duration) {
	for {
		a := c.send()
		wait := pause
		if a.err != nil || a.status != http.StatusOK {
			wait = max(a.after, 50*time.Millisecond)
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// loops runs clients until the returned function is called, which waits for them.
func loops(clients []*client, pause time.Duration) (end func()) {
	stop := make(chan struct{})
	var all sync.WaitGroup
	for _, c := range clients {
		all.Go(func() { c.loop(stop, pause) })
	}
	return func() { close(stop); all.Wait() }
}

// clump sends a request and, if it is refused, one more when the refusal says.
func (c *client) clump() {
	a := c.send()
	if a.err == nil && a.status == http.StatusServiceUnavailable {
		time.Sleep(max(a.after, 50*time.Millisecond))
		c.send()
	}
}

// clumps has clients send at the same time, once every interval, until the returned function is
// called, which waits for them: all clients, then those of one host, by turns.
func (b *bed) clumps(clients []*client, interval time.Duration) (end func()) {
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for step := 0; ; step++ {
			for _, c := range clients {
				if step%2 == 0 || c.host == b.hosts[step/2%len(b.hosts)] {
					all.Go(c.clump)
				}
			}
			select {
			case <-stop:
				return
			case <-tick.C:
			}
		}
	})
	return func() { close(stop); all.Wait() }
}

// runsOf returns all runs of a request.
func (b *bed) runsOf(id string) []*run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var runs []*run
	for _, t := range b.backends {
		t.mu.Lock()
		for _, n := range t.runs {
			if n.id == id {
				runs = append(runs, n)
			}
		}
		t.mu.Unlock()
	}
	return runs
}
