package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"pineturn/core/clock"
	"pineturn/io/standin/keyholder"
)

const (
	// callPause is the mean pause of a caller between two requests, callTimeout
	// how long it waits for an answer.
	callPause   = 15 * time.Millisecond
	callTimeout = 3 * time.Second
	// settleTime is how old events are when they are taken to be complete.
	settleTime = 2 * time.Second
)

// caller sends requests to all hosts on connections that it keeps open.
type caller struct {
	site   *site
	number int
	random *rand.Rand
	client *http.Client
	asked  int
}

func newCaller(s *site, number int) *caller {
	return &caller{
		site: s, number: number, random: rand.New(rand.NewPCG(s.options.Seed, uint64(number))),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

// callers run until the context ends.
func (s *site) callers(ctx context.Context) *sync.WaitGroup {
	var running sync.WaitGroup
	for i := range s.options.Callers {
		running.Go(func() {
			c := newCaller(s, i)
			for ctx.Err() == nil {
				c.call(c.random.IntN(len(s.hosts)))
				clock.Sleep(ctx, time.Duration(c.random.Int64N(int64(2*callPause))))
			}
			c.client.CloseIdleConnections()
		})
	}
	return &running
}

// call sends one request to a host and tells the judge what came of it.
func (c *caller) call(number int) Answer {
	c.asked++
	h := c.site.hosts[number]
	a := Answer{
		ID: fmt.Sprintf("s%d-%d-%d", c.site.options.Seed, c.number, c.asked), Host: number, Life: h.state(), Sent: time.Now(),
	}
	req := c.build(&a, h)
	resp, err := c.client.Do(req)
	if err == nil {
		c.read(&a, resp)
	}
	a.Ended = time.Now()
	a.Restarted = a.Life != h.state()
	c.site.judge.Answer(a)
	return a
}

func (c *caller) build(a *Answer, h *host) *http.Request {
	key := ""
	switch c.random.IntN(4) {
	case 0:
		a.Route = "cover"
	case 1:
		a.Route, a.Once = "payout", true
	case 2:
		a.Route, key = "records", fmt.Sprint(c.random.IntN(1<<16))
	default:
		a.Version = c.site.newest()
		a.Route = versionRoute(a.Version)
	}
	// A request of this method is never sent again by the transport itself.
	req, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/"+a.Route+"/x", strings.NewReader(a.ID))
	if err != nil {
		panic(err)
	}
	req.Host = siteHost
	keyholder.SetRequestHeaders(req.Header, a.ID, callTimeout, key)
	return req
}

func (c *caller) read(a *Answer, resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	a.Status, a.Body = resp.StatusCode, string(body)
	a.EchoedID, a.Signature = keyholder.ResponseHeaders(resp.Header)
}
