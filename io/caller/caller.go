// Package caller takes callers' requests over HTTP, as docs/PROTOCOLS.md
// describes, and passes answers on.
package caller

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"pineturn/core/message"
	"pineturn/core/outcome"
)

// Request is a caller's request: the key of a service that it concerns, and what
// is passed on.
type Request struct {
	Service string
	Key     string
	Message *message.Request
}

// Backend decides where a call goes. Its function fields are set before use.
type Backend struct {
	// Handle carries a request to its key's owner.
	Handle func(ctx context.Context, service, key string, req *message.Request) (*message.Answer, *outcome.Error)
	// MaxBody returns the largest body of a service's requests in bytes, or
	// false for an unknown service. Zero stands for DefaultMaxBody.
	MaxBody func(service string) (int64, bool)
}

// failure is an outcome with the id of the request that it concerns.
type failure struct {
	cause *outcome.Error
	id    string
}

// Error returns the outcome's text.
func (f failure) Error() string { return f.cause.Error() }

// Unwrap returns the outcome.
func (f failure) Unwrap() error { return f.cause }

// NewHandler returns the handler of all callers' requests. The middlewares
// wrap each call from the outside in.
func NewHandler(entry Backend, middlewares ...endpoint.Middleware) http.Handler {
	handle := newEndpoint(entry)
	for i := len(middlewares) - 1; i >= 0; i-- {
		handle = middlewares[i](handle)
	}
	return limit(DefaultMaxRequests, kithttp.NewServer(
		handle,
		decoder{maxBody: entry.MaxBody}.decode,
		encodeAnswer,
		kithttp.ServerErrorEncoder(encodeError),
	))
}

// limit refuses requests at once while most others are in flight.
func limit(most int64, next http.Handler) http.Handler {
	var inFlight atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer inFlight.Add(-1)
		if inFlight.Add(1) > most {
			refusal := outcome.Refuse(outcome.Overloaded, "the host handles too many requests", retryHostFull)
			id, _ := requestID(r.Header)
			encodeError(r.Context(), failure{cause: refusal, id: id}, w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// NewServer returns an HTTP server with the limits that callers are held to.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    DefaultMaxHeaderBytes,
		ReadHeaderTimeout: DefaultHeaderTimeout,
		ReadTimeout:       DefaultReadTimeout,
		IdleTimeout:       DefaultIdleTimeout,
	}
}

// result is the answer to a call.
type result struct {
	id     string
	answer *message.Answer
}

func newEndpoint(entry Backend) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		call := request.(*Request)
		answer, err := entry.Handle(ctx, call.Service, call.Key, call.Message)
		if err != nil {
			return nil, failure{cause: err, id: call.Message.ID}
		}
		return result{id: call.Message.ID, answer: answer}, nil
	}
}
