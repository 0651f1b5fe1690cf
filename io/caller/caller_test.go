package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"pineturn/core/header"
	"pineturn/core/message"
	"pineturn/core/outcome"
)

type handleFunc func(ctx context.Context, service, key string, req *message.Request) (*message.Response, *outcome.Error)

// respondWith returns a handler whose response has the given body. If err is not nil,
// reading the body fails with err after the last byte.
func respondWith(body string, err error, fields map[string][]string) handleFunc {
	return func(context.Context, string, string, *message.Request) (*message.Response, *outcome.Error) {
		reader := io.Reader(strings.NewReader(body))
		if err != nil {
			reader = io.MultiReader(reader, errorReader{err})
		}
		return &message.Response{Head: message.Head{Status: http.StatusOK, Header: fields}, Body: io.NopCloser(reader)}, nil
	}
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

func maxBody(service string) (int64, bool) { return 8, service != "nowhere" }

func start(t *testing.T, handle handleFunc) string {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(NewHandler(Backend{Handle: handle, MaxBody: maxBody}))
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func send(t *testing.T, address, method, path, body string, fields map[string]string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range fields {
		req.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// TestDecode guards against a request that is passed on with the wrong service, key, path
// or timeout, or with headers that only pineturn may set.
func TestDecode(t *testing.T) {
	cases := map[string]struct {
		path               string
		fields             map[string]string
		service, key, rest string
	}{
		"path":               {"/s/coverdesk/k/tenant-1/cover/2?x=%2F", nil, "coverdesk", "tenant-1", "/cover/2?x=%2F"},
		"escaped key":        {"/s/coverdesk/k/a%2Fb%20c/x%2Fy", nil, "coverdesk", "a/b c", "/x%2Fy"},
		"no rest":            {"/s/coverdesk/k/tenant-1", nil, "coverdesk", "tenant-1", "/"},
		"no rest, but query": {"/s/coverdesk/k/tenant-1?x=1", nil, "coverdesk", "tenant-1", "/?x=1"},
		"headers": {
			"/s/a/k/b?x=1", map[string]string{header.Service: "coverdesk", header.Key: "t 1"}, "coverdesk", "t 1", "/s/a/k/b?x=1",
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var got *message.Request
			var service string
			address := start(t, func(ctx context.Context, name, key string, req *message.Request) (*message.Response, *outcome.Error) {
				service, got = name, req
				return respondWith("ok", nil, nil)(ctx, name, key, req)
			})
			fields := map[string]string{
				header.Timeout: "250ms", header.Term: "9", header.EndWithGrant: "1", "X-Own": "1", "Connection": "X-Hop", "X-Hop": "1",
			}
			for name, value := range test.fields {
				fields[name] = value
			}
			response := send(t, address, "POST", test.path, "lodge", fields)
			if service != test.service || got.Key != test.key || got.Path != test.rest {
				t.Errorf("got %q, %q, %q, want %q, %q, %q", service, got.Key, got.Path, test.service, test.key, test.rest)
			}
			if got.Left != 250*time.Millisecond || string(got.Body) != "lodge" || got.Method != "POST" {
				t.Errorf("got %v, %q, %s, want 250ms, lodge, POST", got.Left, got.Body, got.Method)
			}
			if id := response.Header.Get(header.RequestID); len(got.ID) != 32 || id != got.ID {
				t.Errorf("got id %q and %q, want the same 32 hex digits", got.ID, id)
			}
			for _, name := range []string{header.Term, header.EndWithGrant, header.Timeout, "X-Hop", "Connection"} {
				if value, ok := got.Header[name]; ok {
					t.Errorf("got header %s: %q, want none", name, value)
				}
			}
			if got.Header["X-Own"][0] != "1" {
				t.Errorf("got header X-Own %q, want 1", got.Header["X-Own"])
			}
		})
	}
}

func checkError(t *testing.T, response *http.Response, status int, reason outcome.Reason) {
	t.Helper()
	var got errorBody
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != status || got.Reason != reason || response.Header.Get(header.Reason) != string(reason) {
		t.Errorf("got %d, %q, want %d, %q", response.StatusCode, got.Reason, status, reason)
	}
	if got.Outcome != response.Header.Get(header.Outcome) || got.RequestID != response.Header.Get(header.RequestID) {
		t.Errorf("got body %+v, want it to agree with the header %v", got, response.Header)
	}
}

// TestRefusals guards against invalid or too large requests that are passed on instead of
// refused with a status and a reason.
func TestRefusals(t *testing.T) {
	const path = "/s/coverdesk/k/tenant-1/"
	cases := map[string]struct {
		path, body string
		fields     map[string]string
		status     int
		reason     outcome.Reason
	}{
		"no service":        {"/cover", "", nil, 400, outcome.BadRequest},
		"no key":            {"/s/coverdesk/", "", nil, 400, outcome.MissingKey},
		"empty key":         {"/s/coverdesk/k//x", "", nil, 400, outcome.MissingKey},
		"key header alone":  {path, "", map[string]string{header.Key: "k"}, 400, outcome.BadRequest},
		"control in key":    {"/s/coverdesk/k/a%0Ab/", "", nil, 400, outcome.BadRequest},
		"key not UTF-8":     {"/s/coverdesk/k/%ff/", "", nil, 400, outcome.BadRequest},
		"long key":          {"/s/coverdesk/k/" + strings.Repeat("k", maxKey+1) + "/", "", nil, 400, outcome.BadRequest},
		"long id":           {path, "", map[string]string{header.RequestID: strings.Repeat("i", maxID+1)}, 400, outcome.BadRequest},
		"bad timeout":       {path, "", map[string]string{header.Timeout: "soon"}, 400, outcome.BadRequest},
		"negative timeout":  {path, "", map[string]string{header.Timeout: "-1s"}, 400, outcome.BadRequest},
		"header not UTF-8":  {path, "", map[string]string{"X-Own": "\xff"}, 400, outcome.BadRequest},
		"unknown service":   {"/s/nowhere/k/tenant-1/", "", nil, 404, outcome.UnknownService},
		"large body":        {path, "123456789", nil, 413, outcome.TooLarge},
		"body at the limit": {path, "12345678", nil, 503, outcome.NoOwner},
	}
	address := start(t, func(context.Context, string, string, *message.Request) (*message.Response, *outcome.Error) {
		return nil, outcome.Refuse(outcome.NoOwner, "no owner", 0)
	})
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			checkError(t, send(t, address, "POST", test.path, test.body, test.fields), test.status, test.reason)
		})
	}
	t.Run("large body of unknown length", func(t *testing.T) {
		req, _ := http.NewRequest("POST", "http://"+address+path, io.MultiReader(strings.NewReader("12345"), strings.NewReader("6789")))
		response, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		checkError(t, response, 413, outcome.TooLarge)
	})
	t.Run("large header", func(t *testing.T) {
		response := send(t, address, "GET", path, "", map[string]string{"X-Own": strings.Repeat("x", 2*DefaultMaxHeaderBytes)})
		if got, want := response.StatusCode, http.StatusRequestHeaderFieldsTooLarge; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	})
}

// TestLimitInFlight guards against more requests in flight than the limit, and against a
// limit that still counts requests that have ended.
func TestLimitInFlight(t *testing.T) {
	var handler http.Handler
	handler = limitInFlight(1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inner := httptest.NewRecorder()
		handler.ServeHTTP(inner, r)
		if got, want := inner.Code, http.StatusTooManyRequests; got != want {
			t.Errorf("got status %d for a second request, want %d", got, want)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	for range 2 {
		outer := httptest.NewRecorder()
		handler.ServeHTTP(outer, httptest.NewRequest("GET", "/", nil))
		if got, want := outer.Code, http.StatusNoContent; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	}
}

// TestOutcomes guards against a failed request whose status, reason, Retry-After or request
// id does not match its outcome.
func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		cause      *outcome.Error
		status     int
		retryAfter string
	}{
		"overloaded": {outcome.Refuse(outcome.Overloaded, "", 30*time.Millisecond), 429, "1"},
		"shed":       {outcome.Refuse(outcome.Shed, "", 1500*time.Millisecond), 503, "2"},
		"unknown":    {outcome.UnknownError(outcome.TargetFailed, ""), 502, ""},
		"deadline":   {outcome.Refuse(outcome.DeadlineExceeded, "", 0), 504, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			address := start(t, func(context.Context, string, string, *message.Request) (*message.Response, *outcome.Error) {
				return nil, test.cause
			})
			response := send(t, address, "GET", "/s/coverdesk/k/tenant-1/", "", map[string]string{header.RequestID: "own-1"})
			checkError(t, response, test.status, test.cause.Reason)
			if got := response.Header.Get("Retry-After"); got != test.retryAfter {
				t.Errorf("got Retry-After %q, want %q", got, test.retryAfter)
			}
			if got := response.Header.Get(header.RequestID); got != "own-1" {
				t.Errorf("got id %q, want own-1", got)
			}
		})
	}
}

// TestResponses guards against a truncated response body that the caller takes for a
// complete one.
func TestResponses(t *testing.T) {
	large := strings.Repeat("0123456789", 100_000)
	cases := map[string]struct {
		body    string
		err     error
		fields  map[string][]string
		wantErr bool
	}{
		"sized":               {"ok", nil, map[string][]string{"Content-Length": {"2"}}, false},
		"chunked":             {large, nil, nil, false},
		"truncated, chunked":  {large, io.ErrUnexpectedEOF, nil, true},
		"truncated, sized":    {"short", io.ErrUnexpectedEOF, map[string][]string{"Content-Length": {"9"}}, true},
		"truncated, no bytes": {"", io.ErrUnexpectedEOF, nil, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			address := start(t, respondWith(test.body, test.err, test.fields))
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "GET /s/coverdesk/k/tenant-1/ HTTP/1.1\r\nHost: x\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			var got []byte
			if err == nil {
				got, err = io.ReadAll(response.Body)
			}
			if (err != nil) != test.wantErr {
				t.Errorf("got error %v, want an error: %v", err, test.wantErr)
			}
			if !test.wantErr && string(got) != test.body {
				t.Errorf("got %d bytes, want %d", len(got), len(test.body))
			}
		})
	}
}

// TestCallerDisconnects guards against a request that keeps running after its caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan error, 1)
	address := start(t, func(ctx context.Context, _, _ string, _ *message.Request) (*message.Response, *outcome.Error) {
		close(started)
		<-ctx.Done()
		cancelled <- ctx.Err()
		return nil, outcome.UnknownError(outcome.Cancelled, "")
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+address+"/s/coverdesk/k/tenant-1/", nil)
	go func() {
		<-started
		cancel()
	}()
	if _, err := http.DefaultClient.Do(req); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want cancelled", err)
	}
	if got := <-cancelled; !errors.Is(got, context.Canceled) {
		t.Errorf("got %v at the handler, want cancelled", got)
	}
}

func FuzzReadHead(f *testing.F) {
	f.Add("/s/coverdesk/k/tenant-1/cover?x=1", "", "", "", "")
	f.Add("/s/a/k/%2F%00/x", "", "", "id", "1s")
	f.Add("/s//k//", "", "key", "", "-1ns")
	f.Add("*", "coverdesk", "k\x7f", "\xff", "1h")
	f.Add("/s/a%/k/b", "coverdesk", "key", "", "")
	f.Fuzz(func(t *testing.T, path, service, key, id, timeout string) {
		location, err := url.ParseRequestURI(path)
		if err != nil {
			return
		}
		request := &http.Request{Method: "GET", URL: location, Header: http.Header{
			header.Service: {service}, header.Key: {key}, header.RequestID: {id}, header.Timeout: {timeout},
		}}
		if id, refusal := requestID(request.Header); refusal == nil && (id == "" || len(id) > maxID) {
			t.Errorf("got id %q, want 1 to %d bytes", id, maxID)
		}
		decoded, refusal := readHead(request)
		if refusal != nil {
			if refusal.Outcome != outcome.NotRun {
				t.Errorf("got %v, want not run", refusal)
			}
			return
		}
		if decoded.Service == "" || !printable(decoded.Key, maxKey) || decoded.Key == "" {
			t.Errorf("got service %q, key %q, want a service and a printable key", decoded.Service, decoded.Key)
		}
		if _, err := url.ParseRequestURI(decoded.Message.Path); err != nil || decoded.Message.Path[0] != '/' {
			t.Errorf("got path %q, want a valid path: %v", decoded.Message.Path, err)
		}
	})
}
