// Package caller serves the HTTP requests of callers. docs/PROTOCOLS.md
// specifies the protocol.
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

// Request is a decoded request of a caller: a service, a key of the service, and
// the message to forward to the owner of the key.
type Request struct {
	Service string
	Key     string
	Message *message.Request
}

// Backend holds the functions that process decoded requests. All fields must be
// set before use.
type Backend struct {
	// Handle forwards a request to the owner of its key and returns the response.
	Handle func(ctx context.Context, service, key string, req *message.Request) (*message.Response, *outcome.Error)
	// MaxBody returns the maximum size of the request body for a service, in
	// bytes, and false if the service is unknown. Zero selects DefaultMaxBody.
	MaxBody func(service string) (int64, bool)
}

// requestError is an outcome other than done, with the id of the request.
type requestError struct {
	cause *outcome.Error
	id    string
}

func (e requestError) Error() string { return e.cause.Error() }

func (e requestError) Unwrap() error { return e.cause }

// NewHandler returns the HTTP handler for callers. The first middleware is the
// outermost.
func NewHandler(backend Backend, middlewares ...endpoint.Middleware) http.Handler {
	handle := newEndpoint(backend)
	for i := len(middlewares) - 1; i >= 0; i-- {
		handle = middlewares[i](handle)
	}
	return limitInFlight(DefaultMaxRequests, kithttp.NewServer(
		handle,
		decoder{maxBody: backend.MaxBody}.decode,
		encodeResponse,
		kithttp.ServerErrorEncoder(encodeError),
	))
}

// limitInFlight returns a handler that refuses a request without delay while
// maxInFlight other requests are in flight.
func limitInFlight(maxInFlight int64, next http.Handler) http.Handler {
	var inFlight atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer inFlight.Add(-1)
		if inFlight.Add(1) > maxInFlight {
			refusal := outcome.Refuse(outcome.Overloaded, "the host handles too many requests", retryAfterOverload)
			id, _ := requestID(r.Header)
			encodeError(r.Context(), requestError{cause: refusal, id: id}, w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// NewServer returns an HTTP server for callers with the header limit and the read
// and idle timeouts of this package.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    DefaultMaxHeaderBytes,
		ReadHeaderTimeout: DefaultHeaderTimeout,
		ReadTimeout:       DefaultReadTimeout,
		IdleTimeout:       DefaultIdleTimeout,
	}
}

// result is the response to the request with the given id.
type result struct {
	id       string
	response *message.Response
}

func newEndpoint(backend Backend) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		decoded := request.(*Request)
		response, err := backend.Handle(ctx, decoded.Service, decoded.Key, decoded.Message)
		if err != nil {
			return nil, requestError{cause: err, id: decoded.Message.ID}
		}
		return result{id: decoded.Message.ID, response: response}, nil
	}
}
