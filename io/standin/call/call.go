// Package call is a small caller of pineturn: it sends requests to hosts,
// judges the answers of stand-in targets, and records what came of each.
package call

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pineturn/core/audit"
	"pineturn/core/outcome"
	"pineturn/io/standin/target"
)

// maxAnswerBytes is the largest answer that is read.
const maxAnswerBytes = 256 << 20

// Request is one request of a caller. Timeout is the one stated to the host;
// zero leaves it to the service.
type Request struct {
	Host    string
	ID      string
	Service string
	Key     string
	Method  string
	Path    string
	Body    string
	Timeout time.Duration
	Once    bool
	Attempt int
}

// Result is what came of a request: its record, and the answer's header and
// body as far as they arrived.
type Result struct {
	Record audit.Record
	Header http.Header
	Body   []byte
	Err    error
}

// Client sends requests, each on a connection of its own, so that the HTTP
// transport never sends one again by itself.
type Client struct {
	http *http.Client
}

// New returns a client that gives up on an answer after patience.
func New(patience time.Duration) *Client {
	return &Client{http: &http.Client{
		Timeout:   patience,
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}}
}

// Do sends a request and judges its answer.
func (c *Client) Do(ctx context.Context, asked Request) Result {
	result := Result{Record: audit.Record{
		ID: asked.ID, Service: asked.Service, Key: asked.Key, Once: asked.Once, Attempt: asked.Attempt,
		SentNs: time.Now().UnixNano(), WantBytes: asked.size(),
	}}
	c.send(ctx, asked, &result)
	result.Record.EndNs = time.Now().UnixNano()
	return result
}

func (c *Client) send(ctx context.Context, asked Request, result *Result) {
	request, err := asked.build(ctx)
	if err != nil {
		result.fail(outcome.NotRun, "bad-request", err)
		return
	}
	response, err := c.http.Do(request)
	if err != nil {
		result.failSend(err)
		return
	}
	defer response.Body.Close()
	result.Header, result.Record.Status = response.Header, response.StatusCode
	result.Body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	result.Record.Bytes = int64(len(result.Body))
	if err != nil && response.Header.Get("Pineturn-Outcome") != outcome.NotRun.String() {
		result.fail(outcome.Unknown, "answer-cut", err)
		return
	}
	result.judge()
}

// build makes the HTTP request.
func (r Request) build(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Host+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Pineturn-Service", r.Service)
	request.Header.Set("Pineturn-Key", r.Key)
	request.Header.Set("Pineturn-Request-Id", r.ID)
	if r.Timeout > 0 {
		request.Header.Set("Pineturn-Timeout", r.Timeout.String())
	}
	return request, nil
}

// size returns the size of the answer that the path asks for, 0 if it says
// none.
func (r Request) size() int64 {
	parsed, err := url.Parse(r.Path)
	if err != nil {
		return 0
	}
	size, _ := strconv.ParseInt(parsed.Query().Get("size"), 10, 64)
	return size
}

func (r *Result) fail(fate outcome.Outcome, reason string, err error) {
	r.Record.Outcome, r.Record.Reason, r.Err = fate.String(), reason, err
}

// detail returns what the host says of a request that it did not have done.
func (r *Result) detail() error {
	var told struct {
		Detail string `json:"detail"`
	}
	if err := json.Unmarshal(r.Body, &told); err != nil {
		return fmt.Errorf("decode refusal: %w", err)
	}
	return errors.New(told.Detail)
}

// failSend judges a request without an answer: it certainly did not run only
// when no connection was made.
func (r *Result) failSend(err error) {
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) && op.Op == "dial" {
		r.fail(outcome.NotRun, string(outcome.HostUnreachable), err)
		return
	}
	r.fail(outcome.Unknown, string(outcome.HostUnreachable), err)
}

// judge reads the outcome that the host states, and compares an answer that
// is said to be done with the one that the target gives.
func (r *Result) judge() {
	r.Record.Outcome = r.Header.Get("Pineturn-Outcome")
	r.Record.Reason = r.Header.Get("Pineturn-Reason")
	switch r.Record.Outcome {
	case outcome.NotRun.String(), outcome.Unknown.String():
		r.Err = r.detail()
		return
	case outcome.Done.String():
	default:
		r.fail(outcome.Unknown, "no-outcome", nil)
		return
	}
	var answer target.Response
	if err := json.NewDecoder(bytes.NewReader(r.Body)).Decode(&answer); err != nil {
		r.Err = fmt.Errorf("decode answer: %w", err)
		return
	}
	r.Record.BodyID, r.Record.BodyKey = answer.RequestID, answer.Key
	r.Record.BodyOK = bytes.Equal(answer.Body(), r.Body) && answer.Service == r.Record.Service
	r.Record.WantBytes = max(r.Record.WantBytes, int64(len(answer.Body())))
}
