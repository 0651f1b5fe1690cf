package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

// Queries holds the functions of the daemon that serve operators' queries. A query
// whose function is nil is unavailable. Errors wrap ErrUnavailable or are an *Error.
type Queries struct {
	State   func(ctx context.Context) (State, error)
	Hosts   func(ctx context.Context) ([]Host, error)
	Targets func(ctx context.Context) ([]Target, error)
	// Shards lists the shards of a service, or of all services if service is "".
	Shards func(ctx context.Context, service string) ([]Shard, error)
	Key    func(ctx context.Context, service, key string) (Key, error)
	Moves  func(ctx context.Context) ([]Move, error)
	// Files lists all files with their content, sorted by name.
	Files func(ctx context.Context) ([]File, error)
	// History lists at most limit changes, newest first.
	History func(ctx context.Context, limit int) (History, error)
}

// DefaultHistoryLimit is the number of changes that a history query returns at
// most if it states no limit.
const DefaultHistoryLimit = 100

// queryParams holds the parameters of a query.
type queryParams struct {
	service string
	key     string
	name    string
	content bool
	limit   int
}

func (q Queries) register(mux *http.ServeMux) {
	mux.Handle("GET "+pathState, queryHandler(q.State != nil, func(ctx context.Context, _ queryParams) (State, error) {
		return q.State(ctx)
	}))
	mux.Handle("GET "+pathHosts, queryHandler(q.Hosts != nil, func(ctx context.Context, _ queryParams) ([]Host, error) {
		return q.Hosts(ctx)
	}))
	mux.Handle("GET "+pathTargets, queryHandler(q.Targets != nil, func(ctx context.Context, _ queryParams) ([]Target, error) {
		return q.Targets(ctx)
	}))
	mux.Handle("GET "+pathShards, queryHandler(q.Shards != nil, func(ctx context.Context, params queryParams) ([]Shard, error) {
		return q.Shards(ctx, params.service)
	}))
	mux.Handle("GET "+pathKey, queryHandler(q.Key != nil, q.key))
	mux.Handle("GET "+pathMoves, queryHandler(q.Moves != nil, func(ctx context.Context, _ queryParams) ([]Move, error) {
		return q.Moves(ctx)
	}))
	mux.Handle("GET "+pathFiles, queryHandler(q.Files != nil, q.files))
	mux.Handle("GET "+pathHistory, queryHandler(q.History != nil, func(ctx context.Context, params queryParams) (History, error) {
		return q.History(ctx, params.limit)
	}))
}

// queryHandler returns the HTTP handler of one kind of query. If supported is not
// set, the handler responds that the query is unavailable.
func queryHandler[T any](supported bool, run func(context.Context, queryParams) (T, error)) http.Handler {
	var serve endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		if !supported {
			return nil, ErrUnavailable
		}
		return run(ctx, request.(queryParams))
	}
	return kithttp.NewServer(serve, decodeQuery, kithttp.EncodeJSONResponse, serverOptions()...)
}

func decodeQuery(_ context.Context, r *http.Request) (any, error) {
	values := r.URL.Query()
	params := queryParams{
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
		params.limit = limit
	}
	return params, nil
}

func (q Queries) key(ctx context.Context, params queryParams) (Key, error) {
	if params.service == "" || params.key == "" {
		return Key{}, badRequest("want service and key")
	}
	return q.Key(ctx, params.service, params.key)
}

// files lists the files in force, or only the file that params names.
func (q Queries) files(ctx context.Context, params queryParams) ([]File, error) {
	all, err := q.Files(ctx)
	if err != nil {
		return nil, err
	}
	listed := make([]File, 0, len(all))
	for _, file := range all {
		if params.name != "" && params.name != file.Name {
			continue
		}
		if !params.content {
			file.Content = nil
		}
		listed = append(listed, file)
	}
	if params.name != "" && len(listed) == 0 {
		return nil, &Error{Code: CodeNotFound, Detail: "no file " + params.name}
	}
	return slices.Clip(listed), nil
}
