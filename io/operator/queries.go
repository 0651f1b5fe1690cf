package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

// Queries are the questions that operators may ask. Its fields are filled by
// the daemon. Errors wrap ErrUnavailable, or are an *Error.
type Queries struct {
	State   func(ctx context.Context) (State, error)
	Hosts   func(ctx context.Context) ([]Host, error)
	Targets func(ctx context.Context) ([]Target, error)
	// Shards lists the shards of a service, or all when it is "".
	Shards func(ctx context.Context, service string) ([]Shard, error)
	Key    func(ctx context.Context, service, key string) (Key, error)
	Moves  func(ctx context.Context) ([]Move, error)
	// Files lists all files with their content, by name.
	Files func(ctx context.Context) ([]File, error)
	// History lists at most limit changes, the newest first.
	History func(ctx context.Context, limit int) (History, error)
}

// DefaultHistoryLimit is how many changes a history lists when it is not asked
// for a number.
const DefaultHistoryLimit = 100

// question holds the parameters of a query.
type question struct {
	service string
	key     string
	name    string
	content bool
	limit   int
}

func (q Queries) register(mux *http.ServeMux) {
	mux.Handle("GET "+pathState, query(q.State != nil, func(ctx context.Context, _ question) (State, error) {
		return q.State(ctx)
	}))
	mux.Handle("GET "+pathHosts, query(q.Hosts != nil, func(ctx context.Context, _ question) ([]Host, error) {
		return q.Hosts(ctx)
	}))
	mux.Handle("GET "+pathTargets, query(q.Targets != nil, func(ctx context.Context, _ question) ([]Target, error) {
		return q.Targets(ctx)
	}))
	mux.Handle("GET "+pathShards, query(q.Shards != nil, func(ctx context.Context, ask question) ([]Shard, error) {
		return q.Shards(ctx, ask.service)
	}))
	mux.Handle("GET "+pathKey, query(q.Key != nil, q.key))
	mux.Handle("GET "+pathMoves, query(q.Moves != nil, func(ctx context.Context, _ question) ([]Move, error) {
		return q.Moves(ctx)
	}))
	mux.Handle("GET "+pathFiles, query(q.Files != nil, q.files))
	mux.Handle("GET "+pathHistory, query(q.History != nil, func(ctx context.Context, ask question) (History, error) {
		return q.History(ctx, ask.limit)
	}))
}

// query serves one kind of question, if the daemon can answer it.
func query[T any](known bool, run func(context.Context, question) (T, error)) http.Handler {
	var serve endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		if !known {
			return nil, ErrUnavailable
		}
		return run(ctx, request.(question))
	}
	return kithttp.NewServer(serve, decodeQuestion, kithttp.EncodeJSONResponse, serverOptions()...)
}

func decodeQuestion(_ context.Context, r *http.Request) (any, error) {
	values := r.URL.Query()
	ask := question{
		service: values.Get("service"),
		key:     values.Get("key"),
		name:    values.Get("name"),
		content: values.Get("content") == "true",
		limit:   DefaultHistoryLimit,
	}
	if text := values.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 {
			return nil, badRequest("limit %q: want a whole number from 1", text)
		}
		ask.limit = limit
	}
	return ask, nil
}

func (q Queries) key(ctx context.Context, ask question) (Key, error) {
	if ask.service == "" || ask.key == "" {
		return Key{}, badRequest("want service and key")
	}
	return q.Key(ctx, ask.service, ask.key)
}

// files lists the files, or the one that is asked for.
func (q Queries) files(ctx context.Context, ask question) ([]File, error) {
	all, err := q.Files(ctx)
	if err != nil {
		return nil, err
	}
	listed := make([]File, 0, len(all))
	for _, file := range all {
		if ask.name != "" && ask.name != file.Name {
			continue
		}
		if !ask.content {
			file.Content = nil
		}
		listed = append(listed, file)
	}
	if ask.name != "" && len(listed) == 0 {
		return nil, &Error{Code: CodeNotFound, Detail: "no file " + ask.name}
	}
	return slices.Clip(listed), nil
}
