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

// Send forwards a request to a target under a permit. The request is written to at
// most one connection, and only while the permit is valid. An error with the outcome
// not run means that no byte of the request was sent or that the target refused the
// request. If endWithGrant is set, the target itself aborts the request when its grant
// expires, so that the deadline may be later.
func (c *Client) Send(ctx context.Context, permit route.Permit, target *config.Target, req *message.Request, endWithGrant bool) (*message.Response, *outcome.Error) {
	location, err := url.ParseRequestURI(req.Path)
	if err != nil || location.Host != "" {
		return nil, outcome.Refuse(outcome.BadRequest, "path is not valid", 0)
	}
	location.Scheme, location.Host = c.scheme(), permit.Address

	requestDeadline := c.requestDeadline(ctx, req)
	runDeadline, responseDeadline := c.deadlines(requestDeadline, permit, endWithGrant)
	ctx, cancel := context.WithDeadline(ctx, responseDeadline)
	guard := &writeGuard{clock: c.clock, permit: permit}
	request := (&http.Request{
		Method:        req.Method,
		URL:           location,
		Host:          permit.Address,
		Header:        requestHeader(permit, req, runDeadline, endWithGrant),
		Body:          http.NoBody,
		ContentLength: int64(len(req.Body)),
	}).WithContext(httptrace.WithClientTrace(ctx, guard.trace()))
	if len(req.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	if err := c.authorize(request); err != nil {
		cancel()
		return nil, outcome.Refuse(outcome.TargetFailed, err.Error(), 0)
	}
	transport := c.requestTransport(permit.Address, target.Connections())
	response, err := transport.RoundTrip(request)
	if err != nil {
		failure := sendFailure(ctx, guard, err)
		if guard.written() && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The cause of the time-out may affect the idle connections too.
			transport.CloseIdleConnections()
			failure = timeoutFailure(responseDeadline.Before(requestDeadline), failure)
		}
		cancel()
		return nil, failure
	}
	return newResponse(response, req, cancel)
}

// requestDeadline returns the deadline of the request, regardless of the grant.
func (c *Client) requestDeadline(ctx context.Context, req *message.Request) time.Time {
	deadline := c.clock.Now().Add(req.Left)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		return earlier
	}
	return deadline
}

// deadlines returns the time at which the target must stop running the request, and
// the time until which Send waits for a response. Both are requestDeadline, the
// deadline of the request, unless the grant ends earlier and endWithGrant is not set.
// Then Send waits at most Options.ResponseGrace beyond the end of the grant.
func (c *Client) deadlines(requestDeadline time.Time, permit route.Permit, endWithGrant bool) (runDeadline, responseDeadline time.Time) {
	if endWithGrant || !permit.Until.Before(requestDeadline) {
		return requestDeadline, requestDeadline
	}
	responseDeadline = requestDeadline
	if graceEnd := permit.Until.Add(c.options.ResponseGrace); graceEnd.Before(responseDeadline) {
		responseDeadline = graceEnd
	}
	return permit.Until, responseDeadline
}

// timeoutFailure returns the outcome of a request that was written and got no response
// in time. If the request's own deadline has not passed, the reason is not the deadline
// but the target, so that there is time for a retry on another connection.
func timeoutFailure(timeLeft bool, failure *outcome.Error) *outcome.Error {
	if !timeLeft {
		return failure
	}
	return outcome.UnknownError(outcome.TargetFailed, "no answer from the target while its grant lasted")
}

// sendFailure returns the outcome of a request that failed with err before a response
// arrived.
func sendFailure(ctx context.Context, guard *writeGuard, err error) *outcome.Error {
	if guard.written() {
		if errors.Is(ctx.Err(), context.Canceled) {
			return outcome.UnknownError(outcome.Cancelled, "cancelled in flight")
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return outcome.UnknownError(outcome.DeadlineExceeded, "no answer from the target in time")
		}
		return outcome.UnknownError(outcome.TargetFailed, "connection to the target failed: "+err.Error())
	}
	switch {
	case guard.expired():
		return outcome.Refuse(outcome.LeaseLost, errPermitEnded.Error(), 0)
	case errors.Is(ctx.Err(), context.Canceled):
		return outcome.Refuse(outcome.Cancelled, "cancelled before it was sent", 0)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.Refuse(outcome.DeadlineExceeded, "no connection to the target in time", 0)
	}
	return outcome.Refuse(outcome.TargetFailed, "connect to the target: "+err.Error(), 0)
}

// newResponse checks that response belongs to req and was not a refusal, and converts
// it.
func newResponse(response *http.Response, req *message.Request, cancel context.CancelFunc) (*message.Response, *outcome.Error) {
	failure := checkResponse(response, req)
	if failure != nil {
		_ = response.Body.Close()
		cancel()
		return nil, failure
	}
	return &message.Response{
		Head: message.Head{Status: response.StatusCode, Header: responseHeader(response)},
		Body: &responseBody{inner: response.Body, unframed: isUnframed(response, req), cancel: cancel},
	}, nil
}

// checkResponse returns the failure that response stands for, nil if the target ran the
// request.
func checkResponse(response *http.Response, req *message.Request) *outcome.Error {
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

// isUnframed reports whether the response has a body but no content length or transfer
// encoding. The body of such a response ends when its connection is closed, so that a
// complete body cannot be distinguished from a truncated one.
func isUnframed(response *http.Response, req *message.Request) bool {
	bodyless := req.Method == http.MethodHead || response.Body == http.NoBody
	return !bodyless && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// responseBody is a body that returns io.EOF only if it is complete.
type responseBody struct {
	inner io.ReadCloser
	// unframed is set if the end of the body cannot be distinguished from a
	// truncation.
	unframed bool
	cancel   context.CancelFunc
}

// Read returns io.ErrUnexpectedEOF if the body is or may be truncated.
func (b *responseBody) Read(data []byte) (int, error) {
	n, err := b.inner.Read(data)
	if err == nil || (err == io.EOF && !b.unframed) {
		return n, err
	}
	return n, io.ErrUnexpectedEOF
}

// Close cancels the request. The connection is closed unless the body was read to its
// end.
func (b *responseBody) Close() error {
	err := b.inner.Close()
	b.cancel()
	return err
}
