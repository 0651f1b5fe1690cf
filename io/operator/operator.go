// Package operator implements the operators' protocol: JSON over HTTP between
// pinectl, or other automation, and a daemon. Commands change the state that all
// hosts share by appending to the log. Queries only read.
package operator

import (
	"net/http"

	kithttp "github.com/go-kit/kit/transport/http"
)

// Paths of the protocol.
const (
	pathFiles   = "/operator/v1/files"
	pathDrain   = "/operator/v1/drain"
	pathReset   = "/operator/v1/members/reset"
	pathHistory = "/operator/v1/history"
	pathState   = "/operator/v1/state"
	pathHosts   = "/operator/v1/hosts"
	pathTargets = "/operator/v1/targets"
	pathShards  = "/operator/v1/shards"
	pathKey     = "/operator/v1/key"
	pathMoves   = "/operator/v1/moves"
)

// Server serves the operators' protocol.
type Server struct {
	// Authorize returns an error if the sender of the request is not authorized. It
	// is called for each request before anything else. If it is nil, all requests
	// are refused.
	Authorize func(*http.Request) error
	Commands  Commands
	Queries   Queries
}

// Handler returns the HTTP handler of all paths below /operator/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	s.Commands.register(mux)
	s.Queries.register(mux)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		encodeError(r.Context(), &Error{Code: CodeNotFound, Detail: "no such path: " + r.Method + " " + r.URL.Path}, w)
	})
	return s.requireAuthorization(mux)
}

// requireAuthorization calls next for the requests that Authorize accepts.
func (s *Server) requireAuthorization(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Authorize == nil {
			encodeError(r.Context(), &Error{Code: CodeUnauthorized, Detail: "no operators are set up"}, w)
			return
		}
		if err := s.Authorize(r); err != nil {
			encodeError(r.Context(), &Error{Code: CodeUnauthorized, Detail: err.Error()}, w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serverOptions returns the options of the handlers of all paths.
func serverOptions() []kithttp.ServerOption {
	return []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeError)}
}
