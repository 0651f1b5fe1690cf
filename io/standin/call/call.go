// Package call is a small caller of pineturn. It sends requests to hosts, checks
// the responses of stand-in targets, and records the outcome of each attempt.
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

// maxResponseBytes is the maximum number of bytes that are read from a response
// body.
const maxResponseBytes = 256 << 20

// Request is one request of a caller. Timeout is sent to the host; with zero the
// service's timeout applies. Once marks a request in the record that may run at
// most once.
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

// Result is the result of a request: its record, and the response's header and
// body as far as they arrived. Err, where known, is the cause of an outcome
// other than done, or of a response that can't be decoded.
type Result struct {
	Record audit.Record
	Header http.Header
	Body   []byte
	Err    error
}

// Client sends each request on a new connection, so that the HTTP transport does
// not retry requests.
type Client struct {
	http *http.Client
}

// New returns a client. Its timeout applies to a whole exchange, including the
// response body.
func New(timeout time.Duration) *Client {
	return &Client{http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}}
}

// Do sends a request and evaluates its response.
func (c *Client) Do(ctx context.Context, request Request) Result {
	result := Result{Record: audit.Record{
		ID: request.ID, Service: request.Service, Key: request.Key, Once: request.Once, Attempt: request.Attempt,
		SentNs: time.Now().UnixNano(), WantBytes: request.responseSize(),
	}}
	c.send(ctx, request, &result)
	result.Record.EndNs = time.Now().UnixNano()
	return result
}

func (c *Client) send(ctx context.Context, request Request, result *Result) {
	httpRequest, err := request.build(ctx)
	if err != nil {
		result.setOutcome(outcome.NotRun, "bad-request", err)
		return
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		result.setSendError(err)
		return
	}
	defer response.Body.Close()
	result.Header, result.Record.Status = response.Header, response.StatusCode
	result.Body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	result.Record.Bytes = int64(len(result.Body))
	if err != nil && response.Header.Get("Pineturn-Outcome") != outcome.NotRun.String() {
		result.setOutcome(outcome.Unknown, "answer-cut", err)
		return
	}
	result.evaluate()
}

// build returns the HTTP request to the host.
func (r Request) build(ctx context.Context) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Host+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	httpRequest.Header.Set("Pineturn-Service", r.Service)
	httpRequest.Header.Set("Pineturn-Key", r.Key)
	httpRequest.Header.Set("Pineturn-Request-Id", r.ID)
	if r.Timeout > 0 {
		httpRequest.Header.Set("Pineturn-Timeout", r.Timeout.String())
	}
	return httpRequest, nil
}

// responseSize returns the size of the response that the path states, in bytes,
// or 0 if it states none.
func (r Request) responseSize() int64 {
	parsed, err := url.Parse(r.Path)
	if err != nil {
		return 0
	}
	size, _ := strconv.ParseInt(parsed.Query().Get("size"), 10, 64)
	return size
}

func (r *Result) setOutcome(o outcome.Outcome, reason string, err error) {
	r.Record.Outcome, r.Record.Reason, r.Err = o.String(), reason, err
}

// refusalDetail returns the detail that the host states for an outcome other than
// done.
func (r *Result) refusalDetail() error {
	var body struct {
		Detail string `json:"detail"`
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return fmt.Errorf("decode refusal: %w", err)
	}
	return errors.New(body.Detail)
}

// setSendError sets the outcome of a request without a response. It is not-run
// if no connection was established, otherwise unknown.
func (r *Result) setSendError(err error) {
	var opError *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &opError) && opError.Op == "dial" {
		r.setOutcome(outcome.NotRun, string(outcome.HostUnreachable), err)
		return
	}
	r.setOutcome(outcome.Unknown, string(outcome.HostUnreachable), err)
}

// evaluate sets the outcome that the host states. If it is done, evaluate
// compares the body with that of the target's response.
func (r *Result) evaluate() {
	r.Record.Outcome = r.Header.Get("Pineturn-Outcome")
	r.Record.Reason = r.Header.Get("Pineturn-Reason")
	switch r.Record.Outcome {
	case outcome.NotRun.String(), outcome.Unknown.String():
		r.Err = r.refusalDetail()
		return
	case outcome.Done.String():
	default:
		r.setOutcome(outcome.Unknown, "no-outcome", nil)
		return
	}
	var decoded target.Response
	if err := json.NewDecoder(bytes.NewReader(r.Body)).Decode(&decoded); err != nil {
		r.Err = fmt.Errorf("decode response: %w", err)
		return
	}
	r.Record.BodyID, r.Record.BodyKey = decoded.RequestID, decoded.Key
	r.Record.BodyOK = bytes.Equal(decoded.Body(), r.Body) && decoded.Service == r.Record.Service
	r.Record.WantBytes = max(r.Record.WantBytes, int64(len(decoded.Body())))
}
