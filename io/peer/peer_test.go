package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
)

// testTimeout limits every wait in a test.
const testTimeout = 30 * time.Second

func memberFunc(name string, run uint64) func() record.Member {
	return func() record.Member {
		return record.Member{Incarnation: record.Incarnation{Host: name, Run: run}, Domain: "pos-a"}
	}
}

// fixture is a server on its own port and a client. The field to is the member
// of the server.
type fixture struct {
	server *Server
	client *Client
	to     record.Member
}

func newFixture(t testing.TB, options Options) *fixture {
	t.Helper()
	options = withLongTimeouts(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{server: NewServer(memberFunc("host-2", 7), options), client: NewClient(memberFunc("host-1", 3), options)}
	r.to = memberFunc("host-2", 7)()
	r.to.Address = listener.Addr().String()
	r.server.OnCall = echoCall
	r.server.OnRequest = echoRequest
	web := &http.Server{Handler: r.server}
	go func() { _ = web.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = r.client.Close(ctx)
		_ = r.server.Close(ctx)
		_ = web.Close()
	})
	return r
}

// withLongTimeouts returns options with a dial timeout and a silence timeout
// long enough that a slow machine does not exceed them.
func withLongTimeouts(options Options) Options {
	options.DialTimeout = orDefault(options.DialTimeout, testTimeout)
	options.SilenceTimeout = orDefault(options.SilenceTimeout, testTimeout)
	return options
}

func echoCall(_ context.Context, from record.Member, call *message.Call) (*message.Reply, error) {
	if call.Ping == nil {
		return nil, errors.New("no ping")
	}
	return &message.Reply{Ping: &message.Pong{From: from.Incarnation, Next: call.Ping.Next}}, nil
}

func echoRequest(_ context.Context, _ record.Member, r *message.Request) (*message.Response, *outcome.Error) {
	return responseOf(r.Body), nil
}

func responseOf(body []byte) *message.Response {
	header := map[string][]string{"Content-Length": {strconv.Itoa(len(body))}}
	return &message.Response{
		Head: message.Head{Status: http.StatusOK, Header: header},
		Body: io.NopCloser(bytes.NewReader(body)),
	}
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func ping(next uint64) *message.Call { return &message.Call{Ping: &message.Ping{Next: next}} }

func assertPing(t testing.TB, r *fixture, next uint64) {
	t.Helper()
	reply, err := r.client.Call(testContext(t), r.to, ping(next))
	if err != nil {
		t.Fatalf("Call: got error %v, want none", err)
	}
	if got := reply.Ping.Next; got != next {
		t.Fatalf("Call: got next %d, want %d", got, next)
	}
}

func assertEcho(t testing.TB, r *fixture, body []byte) {
	t.Helper()
	response, fail := r.client.Request(testContext(t), r.to, &message.Request{ID: "r", Body: body})
	if fail != nil {
		t.Errorf("Request: got error %v, want none", fail)
		return
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Equal(got, body) {
		t.Errorf("Request: got %d bytes and error %v, want %d bytes and none", len(got), err, len(body))
	}
}

func TestCall(t *testing.T) {
	r := newFixture(t, Options{})
	var wg sync.WaitGroup
	for i := range uint64(100) {
		wg.Go(func() { assertPing(t, r, i) })
	}
	wg.Wait()
}

func TestCallError(t *testing.T) {
	r := newFixture(t, Options{})
	_, err := r.client.Call(testContext(t), r.to, &message.Call{})
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Detail != "no ping" {
		t.Errorf("got %v, want RemoteError with detail \"no ping\"", err)
	}
}

func TestRequestSizes(t *testing.T) {
	r := newFixture(t, Options{})
	for _, size := range []int{0, 1, 1000, maxChunk - 1, maxChunk, maxChunk + 1, DefaultWindow, 3 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			assertEcho(t, r, bytes.Repeat([]byte{'x'}, size))
		})
	}
}

func TestRequestSmallWindow(t *testing.T) {
	r := newFixture(t, Options{Window: 100})
	for _, size := range []int{99, 100, 101, 1000} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			assertEcho(t, r, bytes.Repeat([]byte{'x'}, size))
		})
	}
}

func TestRequestParallel(t *testing.T) {
	r := newFixture(t, Options{})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() { assertEcho(t, r, []byte(strings.Repeat(strconv.Itoa(i), 100*i))) })
	}
	wg.Wait()
}

func TestResponseExceedsFrameLimit(t *testing.T) {
	r := newFixture(t, Options{MaxFrame: 1000})
	large := strings.Repeat("x", 2000)
	r.server.OnCall = func(context.Context, record.Member, *message.Call) (*message.Reply, error) {
		return &message.Reply{Catchup: &message.CatchupReply{Snapshot: []byte(large)}}, nil
	}
	r.server.OnRequest = func(context.Context, record.Member, *message.Request) (*message.Response, *outcome.Error) {
		response := responseOf(nil)
		response.Head.Header["X"] = []string{large}
		return response, nil
	}
	_, err := r.client.Call(testContext(t), r.to, ping(1))
	var remote *RemoteError
	if !errors.As(err, &remote) {
		t.Errorf("Call: got error %v, want a *RemoteError", err)
	}
	_, fail := r.client.Request(testContext(t), r.to, &message.Request{ID: "r"})
	assertOutcome(t, fail, outcome.Unknown, outcome.ResponseTruncated)
	_, fail = r.client.Request(testContext(t), r.to, &message.Request{ID: large})
	assertOutcome(t, fail, outcome.NotRun, outcome.TooLarge)
}

func TestIdentify(t *testing.T) {
	r := newFixture(t, Options{})
	got, err := r.client.Identify(testContext(t), r.to.Address)
	if err != nil {
		t.Fatal(err)
	}
	if want := r.to.Incarnation; got.Incarnation != want {
		t.Errorf("got %v, want %v", got.Incarnation, want)
	}
}

func TestIncarnationMismatch(t *testing.T) {
	r := newFixture(t, Options{})
	r.to.Incarnation.Run = 6
	_, err := r.client.Call(testContext(t), r.to, ping(1))
	var other *IncarnationMismatchError
	if !errors.As(err, &other) || other.Got.Run != 7 {
		t.Errorf("got %v, want IncarnationMismatchError with run 7", err)
	}
	_, fail := r.client.Request(testContext(t), r.to, &message.Request{})
	assertOutcome(t, fail, outcome.NotRun, outcome.HostUnreachable)
}

func assertOutcome(t testing.TB, got *outcome.Error, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	if got == nil || got.Outcome != want || got.Reason != reason {
		t.Errorf("got %v, want %v: %v", got, want, reason)
	}
}
