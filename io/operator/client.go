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

// maxResponseSize is the most bytes of a response body that a client reads.
const maxResponseSize = 64 << 20

// Client sends queries and commands to one of several daemons. It tries the
// daemons in order until one of them responds.
type Client struct {
	// Servers are the base URLs of the daemons, in the order of attempts.
	Servers []string
	// HTTP sends the requests. Its transport adds the operator's key if one is
	// configured.
	HTTP *http.Client
	// Timeout bounds one command or query over all servers. A query gives each
	// server an equal share of it, so that one server that does not respond does
	// not use up the timeout.
	Timeout time.Duration
}

// ChangeFiles changes configuration files. Either all changes take effect or none.
func (c *Client) ChangeFiles(ctx context.Context, cmd ChangeFiles) (CommandResponse, error) {
	return post[CommandResponse](ctx, c, pathFiles, cmd)
}

// DrainTarget starts or ends the drain of a target.
func (c *Client) DrainTarget(ctx context.Context, cmd DrainTarget) (CommandResponse, error) {
	return post[CommandResponse](ctx, c, pathDrain, cmd)
}

// ResetMembers replaces the membership by the responding host alone.
func (c *Client) ResetMembers(ctx context.Context, cmd ResetMembers) (CommandResponse, error) {
	return post[CommandResponse](ctx, c, pathReset, cmd)
}

// State returns the state of the deployment as one host sees it.
func (c *Client) State(ctx context.Context) (State, error) { return get[State](ctx, c, pathState, nil) }

// Hosts lists the hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	return get[[]Host](ctx, c, pathHosts, nil)
}

// Targets lists the targets.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	return get[[]Target](ctx, c, pathTargets, nil)
}

// Shards lists the shards of a service, or of all services if service is "".
func (c *Client) Shards(ctx context.Context, service string) ([]Shard, error) {
	return get[[]Shard](ctx, c, pathShards, url.Values{"service": {service}})
}

// Key returns the shard of a key and the owner that its requests are sent to.
func (c *Client) Key(ctx context.Context, service, key string) (Key, error) {
	return get[Key](ctx, c, pathKey, url.Values{"service": {service}, "key": {key}})
}

// Moves lists the shards that are moving to a new owner.
func (c *Client) Moves(ctx context.Context) ([]Move, error) {
	return get[[]Move](ctx, c, pathMoves, nil)
}

// Files lists the files in force. Their content is included if content is set.
func (c *Client) Files(ctx context.Context, content bool) ([]File, error) {
	return get[[]File](ctx, c, pathFiles, url.Values{"content": {strconv.FormatBool(content)}})
}

// File returns one file in force with its content. The error is an *Error with
// CodeNotFound if there is no such file.
func (c *Client) File(ctx context.Context, name string) (File, error) {
	files, err := get[[]File](ctx, c, pathFiles, url.Values{"content": {"true"}, "name": {name}})
	if err != nil {
		return File{}, err
	}
	if len(files) != 1 {
		return File{}, &Error{Code: CodeNotFound, Detail: "no file " + name}
	}
	return files[0], nil
}

// History lists at most limit changes, newest first.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	return get[History](ctx, c, pathHistory, url.Values{"limit": {strconv.Itoa(limit)}})
}

// get sends a query to one server after the other until one returns a result or
// an error other than CodeUnavailable.
func get[T any](ctx context.Context, c *Client, path string, values url.Values) (T, error) {
	var zero T
	causes := make([]string, 0, len(c.Servers))
	for _, server := range c.Servers {
		attemptCtx, cancel := context.WithTimeout(ctx, c.Timeout/time.Duration(len(c.Servers)))
		create := func(ctx context.Context, _ any) (*http.Request, error) {
			return http.NewRequestWithContext(ctx, http.MethodGet, server+path+"?"+values.Encode(), nil)
		}
		response, err := call[T](attemptCtx, c, create)
		cancel()
		if err == nil || final(err) {
			return response, err
		}
		causes = append(causes, server+": "+causeText(err))
	}
	return zero, unavailableError(causes)
}

// post sends a command to one server after the other until one accepts or
// refuses it. It tries the next server only if the command certainly has no
// effect: no connection was obtained, or the server returned CodeUnavailable.
// If a connection was obtained and no complete response arrived, the error is
// an *Error with CodeUnknown.
func post[T any](ctx context.Context, c *Client, path string, cmd any) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	body, err := json.Marshal(cmd)
	if err != nil {
		return zero, errors.Wrap(err, "encode command")
	}
	causes := make([]string, 0, len(c.Servers))
	for _, server := range c.Servers {
		connected := false
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
		create := func(ctx context.Context, _ any) (*http.Request, error) {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server+path, strings.NewReader(string(body)))
			if err == nil {
				request.Header.Set("Content-Type", "application/json; charset=utf-8")
			}
			return request, err
		}
		response, err := call[T](httptrace.WithClientTrace(ctx, trace), c, create)
		if err == nil || final(err) {
			return response, err
		}
		var apiErr *Error
		if connected && !errors.As(err, &apiErr) {
			return zero, &Error{Code: CodeUnknown, Detail: "no complete response from " + server + ": " + causeText(err)}
		}
		causes = append(causes, server+": "+causeText(err))
	}
	return zero, unavailableError(causes)
}

// call sends one request and decodes its response.
func call[T any](ctx context.Context, c *Client, create kithttp.CreateRequestFunc) (T, error) {
	var zero T
	client := kithttp.NewExplicitClient(create, decodeResponse[T], kithttp.SetClient(c.HTTP))
	response, err := client.Endpoint()(ctx, nil)
	if err != nil {
		return zero, err
	}
	return response.(T), nil
}

func decodeResponse[T any](_ context.Context, r *http.Response) (any, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxResponseSize))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if r.StatusCode != http.StatusOK {
		return nil, decodeError(r.StatusCode, body)
	}
	var response T
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, errors.Wrap(err, "decode response")
	}
	return response, nil
}

func decodeError(status int, body []byte) error {
	apiErr := &Error{}
	if err := json.Unmarshal(body, apiErr); err == nil && apiErr.Code != "" {
		return apiErr
	}
	return errors.Newf("HTTP status %d: the response is not from pineturnd", status)
}

// final reports whether err is a server's final response, so that no other server
// is tried.
func final(err error) bool {
	var apiErr *Error
	return errors.As(err, &apiErr) && apiErr.Code != CodeUnavailable
}

// causeText returns the text of err without the method and URL that net/http puts
// before it.
func causeText(err error) string {
	var request *url.Error
	if errors.As(err, &request) {
		return request.Err.Error()
	}
	return err.Error()
}

func unavailableError(causes []string) error {
	if len(causes) == 0 {
		return &Error{Code: CodeUnavailable, Detail: "no server address given"}
	}
	return &Error{Code: CodeUnavailable, Detail: strings.Join(causes, "; ")}
}
