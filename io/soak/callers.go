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
	// meanPause is the mean pause of a caller between two requests.
	meanPause = 15 * time.Millisecond
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 3 * time.Second
	// lateBodyShare is the share of the requests whose bodies end late, maxBodyTime the longest time to that.
	lateBodyShare = 0.05
	maxBodyTime   = 2500 * time.Millisecond
	// eventDelay is the maximum delay of events: events older than eventDelay are
	// assumed to be complete.
	eventDelay = 2 * time.Second
)

// caller sends requests to all hosts over persistent connections.
type caller struct {
	system   *system
	number   int
	random   *rand.Rand
	client   *http.Client
	requests int
	// pairs holds the open connections of pairs by number of the host.
	pairs map[int]*pairConn
}

func newCaller(s *system, number int) *caller {
	return &caller{
		system: s, number: number, random: rand.New(rand.NewPCG(s.options.Seed, uint64(number))),
		pairs:  make(map[int]*pairConn),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

// startCallers starts the callers, which run until ctx ends.
func (s *system) startCallers(ctx context.Context) *sync.WaitGroup {
	var running sync.WaitGroup
	for i := range s.options.Callers {
		running.Go(func() {
			c := newCaller(s, i)
			for ctx.Err() == nil {
				c.sendTo(c.random.IntN(len(s.hosts)))
				clock.Sleep(ctx, time.Duration(c.random.Int64N(int64(2*meanPause))))
			}
			c.client.CloseIdleConnections()
			c.closePairs()
		})
	}
	return &running
}

// sendTo sends one request, or two at once, to the host with the given number.
func (c *caller) sendTo(number int) {
	if c.random.Float64() < pairShare {
		c.sendPair(number)
		return
	}
	c.send(number)
}

// send sends one request to the host with the given number and reports the response
// to the checker.
func (c *caller) send(number int) Response {
	c.requests++
	h := c.system.hosts[number]
	response := Response{
		ID: fmt.Sprintf("s%d-%d-%d", c.system.options.Seed, c.number, c.requests), Host: number, Incarnation: h.currentIncarnation(), Sent: time.Now(),
	}
	req := c.newRequest(&response, h)
	resp, err := c.client.Do(req)
	if err == nil {
		c.readResponse(&response, resp)
	}
	response.Ended = time.Now()
	response.Restarted = response.Incarnation != h.currentIncarnation()
	c.system.checker.AddResponse(response)
	return response
}

func (c *caller) newRequest(response *Response, h *host) *http.Request {
	key := ""
	switch c.random.IntN(4) {
	case 0:
		response.Route = "cover"
	case 1:
		response.Route, response.Once = "payout", true
	case 2:
		response.Route, key = "records", fmt.Sprint(c.random.IntN(1<<16))
	default:
		response.Version = c.system.latestVersion()
		response.Route = versionRoute(response.Version)
	}
	// The method is POST, since http.Transport may resend requests with idempotent
	// methods on its own.
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callerAddress+"/"+response.Route+"/x", c.newBody(response.ID))
	if err != nil {
		panic(err)
	}
	req.ContentLength = int64(len(response.ID))
	req.Host = virtualHost
	keyholder.SetRequestHeaders(req.Header, response.ID, requestTimeout, key)
	return req
}

// newBody returns the body of a request. The last byte of some comes late.
func (c *caller) newBody(text string) io.Reader {
	if c.random.Float64() >= lateBodyShare {
		return strings.NewReader(text)
	}
	last := len(text) - 1
	end := lateReader{Reader: strings.NewReader(text[last:]), delay: time.Duration(c.random.Int64N(int64(maxBodyTime)))}
	return io.MultiReader(strings.NewReader(text[:last]), end)
}

// lateReader is a reader whose reads take some time.
type lateReader struct {
	io.Reader
	delay time.Duration
}

func (r lateReader) Read(data []byte) (int, error) {
	time.Sleep(r.delay)
	return r.Reader.Read(data)
}

func (c *caller) readResponse(response *Response, resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	response.Status, response.Body = resp.StatusCode, string(body)
	response.EchoedID, response.Signature = keyholder.ResponseHeaders(resp.Header)
}
