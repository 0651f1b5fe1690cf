package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	kithttp "github.com/go-kit/kit/transport/http"
)

// maxAnswer is the largest answer that a client reads, in bytes.
const maxAnswer = 64 << 20

// Client asks one of several daemons: the first that can answer.
type Client struct {
	// Servers are the base URLs of daemons.
	Servers []string
	// HTTP carries the requests, and shows the operator's key if there is one.
	HTTP *http.Client
	// Timeout bounds an order, and a question to all servers together.
	Timeout time.Duration
}

// ChangeFiles orders changes of files, all or none.
func (c *Client) ChangeFiles(ctx context.Context, order ChangeFiles) (CommandResponse, error) {
	return send[CommandResponse](ctx, c, pathFiles, order)
}

// DrainTarget orders a target to be taken out of use, or back.
func (c *Client) DrainTarget(ctx context.Context, order DrainTarget) (CommandResponse, error) {
	return send[CommandResponse](ctx, c, pathDrain, order)
}

// ResetMembers orders the membership to start anew.
func (c *Client) ResetMembers(ctx context.Context, order ResetMembers) (CommandResponse, error) {
	return send[CommandResponse](ctx, c, pathReset, order)
}

// State asks what one host knows of the whole.
func (c *Client) State(ctx context.Context) (State, error) { return ask[State](ctx, c, pathState, nil) }

// Hosts lists the hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	return ask[[]Host](ctx, c, pathHosts, nil)
}

// Targets lists the targets.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	return ask[[]Target](ctx, c, pathTargets, nil)
}

// Shards lists the shards of a service, or all when it is "".
func (c *Client) Shards(ctx context.Context, service string) ([]Shard, error) {
	return ask[[]Shard](ctx, c, pathShards, url.Values{"service": {service}})
}

// Key asks where the requests of a key go.
func (c *Client) Key(ctx context.Context, service, key string) (Key, error) {
	return ask[Key](ctx, c, pathKey, url.Values{"service": {service}, "key": {key}})
}

// Moves lists the shards that are on their way to a new owner.
func (c *Client) Moves(ctx context.Context) ([]Move, error) {
	return ask[[]Move](ctx, c, pathMoves, nil)
}

// Files lists the files in force, with their content if asked.
func (c *Client) Files(ctx context.Context, content bool) ([]File, error) {
	return ask[[]File](ctx, c, pathFiles, url.Values{"content": {strconv.FormatBool(content)}})
}

// File reads one file with its content.
func (c *Client) File(ctx context.Context, name string) (File, error) {
	files, err := ask[[]File](ctx, c, pathFiles, url.Values{"content": {"true"}, "name": {name}})
	if err != nil {
		return File{}, err
	}
	if len(files) != 1 {
		return File{}, &Error{Code: CodeNotFound, Detail: "no file " + name}
	}
	return files[0], nil
}

// History lists at most limit changes, the newest first.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	return ask[History](ctx, c, pathHistory, url.Values{"limit": {strconv.Itoa(limit)}})
}

// ask puts a question to one server after the other until one answers.
func ask[T any](ctx context.Context, c *Client, path string, values url.Values) (T, error) {
	var none T
	causes := make([]string, 0, len(c.Servers))
	for _, server := range c.Servers {
		limited, cancel := context.WithTimeout(ctx, c.Timeout/time.Duration(len(c.Servers)))
		create := func(ctx context.Context, _ any) (*http.Request, error) {
			return http.NewRequestWithContext(ctx, http.MethodGet, server+path+"?"+values.Encode(), nil)
		}
		answer, err := call[T](limited, c, create)
		cancel()
		if err == nil || final(err) {
			return answer, err
		}
		causes = append(causes, server+": "+cause(err))
	}
	return none, unanswered(causes)
}

// send gives an order to the first server that takes it. It goes on to the
// next one only when the order certainly has no effect.
func send[T any](ctx context.Context, c *Client, path string, order any) (T, error) {
	var none T
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return none, errors.Wrap(err, "encode order")
	}
	causes := make([]string, 0, len(c.Servers))
	for _, server := range c.Servers {
		written := false
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written = true }}
		create := func(ctx context.Context, _ any) (*http.Request, error) {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server+path, strings.NewReader(string(body)))
			if err == nil {
				request.Header.Set("Content-Type", "application/json; charset=utf-8")
			}
			return request, err
		}
		answer, err := call[T](httptrace.WithClientTrace(ctx, trace), c, create)
		if err == nil || final(err) {
			return answer, err
		}
		var told *Error
		if written && !errors.As(err, &told) {
			return none, &Error{Code: CodeUnknown, Detail: "no whole answer from " + server + ": " + cause(err)}
		}
		causes = append(causes, server+": "+cause(err))
	}
	return none, unanswered(causes)
}

// call makes one request.
func call[T any](ctx context.Context, c *Client, create kithttp.CreateRequestFunc) (T, error) {
	var none T
	client := kithttp.NewExplicitClient(create, decodeAnswer[T], kithttp.SetClient(c.HTTP))
	answer, err := client.Endpoint()(ctx, nil)
	if err != nil {
		return none, err
	}
	return answer.(T), nil
}

func decodeAnswer[T any](_ context.Context, r *http.Response) (any, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if r.StatusCode != http.StatusOK {
		return nil, decodeError(r.StatusCode, body)
	}
	var answer T
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	return answer, nil
}

func decodeError(status int, body []byte) error {
	told := &Error{}
	if err := json.Unmarshal(body, told); err == nil && told.Code != "" {
		return told
	}
	return errors.Newf("HTTP status %d, which does not come from pineturnd", status)
}

// final reports that asking another server makes no sense.
func final(err error) bool {
	var told *Error
	return errors.As(err, &told) && told.Code != CodeUnavailable
}

// cause returns an error's text without the URL that is told before it.
func cause(err error) string {
	var request *url.Error
	if errors.As(err, &request) {
		return request.Err.Error()
	}
	return err.Error()
}

func unanswered(causes []string) error {
	if len(causes) == 0 {
		return &Error{Code: CodeUnavailable, Detail: "no server is named"}
	}
	return &Error{Code: CodeUnavailable, Detail: strings.Join(causes, "; ")}
}
