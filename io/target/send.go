package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"pineturn/core/config"
	"pineturn/core/header"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/route"
)

// Send passes a request on to a target under a permit. The request is
// written to at most one connection, and only while the permit is valid. A
// NotRun error means that no byte left or that the target said so.
// longRunning lets the deadline exceed the grant.
func (c *Client) Send(ctx context.Context, permit route.Permit, target *config.Target, req *message.Request, longRunning bool) (*message.Answer, *outcome.Error) {
	location, err := url.ParseRequestURI(req.Path)
	if err != nil || location.Host != "" {
		return nil, outcome.Refuse(outcome.BadRequest, "path is not valid", 0)
	}
	location.Scheme, location.Host = c.scheme(), permit.Address

	limit := c.limit(ctx, req)
	deadline, wait := c.deadlines(limit, permit, longRunning)
	ctx, cancel := context.WithDeadline(ctx, wait)
	state := &guard{clock: c.clock, permit: permit}
	request := (&http.Request{
		Method:        req.Method,
		URL:           location,
		Host:          permit.Address,
		Header:        requestHeader(permit, req, deadline, longRunning),
		Body:          http.NoBody,
		ContentLength: int64(len(req.Body)),
	}).WithContext(httptrace.WithClientTrace(ctx, state.trace()))
	if len(req.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	if err := c.authorize(request); err != nil {
		cancel()
		return nil, outcome.Refuse(outcome.TargetFailed, err.Error(), 0)
	}
	transport := c.request(permit.Address, target.Connections())
	response, err := transport.RoundTrip(request)
	if err != nil {
		failure := sendFailure(ctx, state, err)
		if state.written() && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// What made one connection silent may have done so to others.
			transport.CloseIdleConnections()
			failure = silence(wait.Before(limit), failure)
		}
		cancel()
		return nil, failure
	}
	return accept(response, req, cancel)
}

// limit returns the request's own deadline.
func (c *Client) limit(ctx context.Context, req *message.Request) time.Time {
	limit := c.clock.Now().Add(req.Left)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(limit) {
		return earlier
	}
	return limit
}

// deadlines returns when the target must stop, and until when an answer is
// waited for. A request that may not outlive its grant is not waited for
// much longer than that.
func (c *Client) deadlines(limit time.Time, permit route.Permit, longRunning bool) (stop, wait time.Time) {
	if longRunning || !permit.Until.Before(limit) {
		return limit, limit
	}
	wait = limit
	if late := permit.Until.Add(c.options.AnswerGrace); late.Before(wait) {
		wait = late
	}
	return permit.Until, wait
}

// silence judges a request that was written and not answered. When its own
// deadline has not passed, there is time to try another connection.
func silence(timeLeft bool, failure *outcome.Error) *outcome.Error {
	if !timeLeft {
		return failure
	}
	return outcome.UnknownError(outcome.TargetFailed, "no answer from the target while its grant lasted")
}

// sendFailure judges a request that got no answer.
func sendFailure(ctx context.Context, state *guard, err error) *outcome.Error {
	if state.written() {
		if errors.Is(ctx.Err(), context.Canceled) {
			return outcome.UnknownError(outcome.Cancelled, "cancelled in flight")
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return outcome.UnknownError(outcome.DeadlineExceeded, "no answer from the target in time")
		}
		return outcome.UnknownError(outcome.TargetFailed, "connection to the target failed: "+err.Error())
	}
	switch {
	case state.refused():
		return outcome.Refuse(outcome.LeaseLost, errPermitEnded.Error(), 0)
	case errors.Is(ctx.Err(), context.Canceled):
		return outcome.Refuse(outcome.Cancelled, "cancelled before it was sent", 0)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.Refuse(outcome.DeadlineExceeded, "no connection to the target in time", 0)
	}
	return outcome.Refuse(outcome.TargetFailed, "connect to the target: "+err.Error(), 0)
}

// accept checks that a response answers req, and makes it an answer.
func accept(response *http.Response, req *message.Request, cancel context.CancelFunc) (*message.Answer, *outcome.Error) {
	failure := judge(response, req)
	if failure != nil {
		_ = response.Body.Close()
		cancel()
		return nil, failure
	}
	return &message.Answer{
		Head: message.Head{Status: response.StatusCode, Header: answerHeader(response)},
		Body: &answerBody{inner: response.Body, open: openEnded(response, req), cancel: cancel},
	}, nil
}

func judge(response *http.Response, req *message.Request) *outcome.Error {
	if got := response.Header.Get(header.RequestID); got != req.ID {
		return outcome.UnknownError(outcome.TargetFailed, "the answer is not this request's")
	}
	if response.Header.Get(header.Outcome) == outcome.NotRun.String() {
		return refusal(response.Header)
	}
	if response.StatusCode < http.StatusOK {
		return outcome.UnknownError(outcome.TargetFailed, "the target changed the protocol")
	}
	return nil
}

// openEnded reports that the body ends with its connection, so that a whole
// one can't be told from one that was cut.
func openEnded(response *http.Response, req *message.Request) bool {
	bodyless := req.Method == http.MethodHead || response.Body == http.NoBody
	return !bodyless && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// answerBody is a body that ends in io.EOF only when it is whole.
type answerBody struct {
	inner  io.ReadCloser
	open   bool
	cancel context.CancelFunc
}

// Read returns io.ErrUnexpectedEOF when the body was cut.
func (b *answerBody) Read(data []byte) (int, error) {
	n, err := b.inner.Read(data)
	if err == nil || (err == io.EOF && !b.open) {
		return n, err
	}
	return n, io.ErrUnexpectedEOF
}

// Close ends the request; the connection is dropped unless the body was read
// to its end.
func (b *answerBody) Close() error {
	err := b.inner.Close()
	b.cancel()
	return err
}
