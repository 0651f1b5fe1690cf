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

// limit bounds every wait of a test.
const limit = 30 * time.Second

func member(name string, run uint64) func() record.Member {
	return func() record.Member {
		return record.Member{Incarnation: record.Incarnation{Host: name, Run: run}, Domain: "pos-a"}
	}
}

// rig is a server on a port of its own and a client.
type rig struct {
	server *Server
	client *Client
	to     record.Member
}

func newRig(t testing.TB, options Options) *rig {
	t.Helper()
	options = patient(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{server: NewServer(member("host-2", 7), options), client: NewClient(member("host-1", 3), options)}
	r.to = member("host-2", 7)()
	r.to.Address = listener.Addr().String()
	r.server.OnCall = echoCall
	r.server.OnRequest = echoRequest
	web := &http.Server{Handler: r.server}
	go func() { _ = web.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		_ = r.client.Close(ctx)
		_ = r.server.Close(ctx)
		_ = web.Close()
	})
	return r
}

// patient returns options with which a slow machine is not taken for a silent
// or unreachable host.
func patient(options Options) Options {
	options.DialTimeout = orDefault(options.DialTimeout, limit)
	options.SilenceTimeout = orDefault(options.SilenceTimeout, limit)
	return options
}

func echoCall(_ context.Context, from record.Member, call *message.Call) (*message.Reply, error) {
	if call.Ping == nil {
		return nil, errors.New("no ping")
	}
	return &message.Reply{Ping: &message.Pong{From: from.Incarnation, Next: call.Ping.Next}}, nil
}

func echoRequest(_ context.Context, _ record.Member, r *message.Request) (*message.Answer, *outcome.Error) {
	return answerOf(r.Body), nil
}

func answerOf(body []byte) *message.Answer {
	header := map[string][]string{"Content-Length": {strconv.Itoa(len(body))}}
	return &message.Answer{
		Head: message.Head{Status: http.StatusOK, Header: header},
		Body: io.NopCloser(bytes.NewReader(body)),
	}
}

func within(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

func ping(next uint64) *message.Call { return &message.Call{Ping: &message.Ping{Next: next}} }

func assertPing(t testing.TB, r *rig, next uint64) {
	t.Helper()
	reply, err := r.client.Call(within(t), r.to, ping(next))
	if err != nil {
		t.Fatalf("Call: got error %v, want none", err)
	}
	if got := reply.Ping.Next; got != next {
		t.Fatalf("Call: got next %d, want %d", got, next)
	}
}

func assertEcho(t testing.TB, r *rig, body []byte) {
	t.Helper()
	answer, fail := r.client.Request(within(t), r.to, &message.Request{ID: "r", Body: body})
	if fail != nil {
		t.Errorf("Request: got error %v, want none", fail)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	got, err := io.ReadAll(answer.Body)
	if err != nil || !bytes.Equal(got, body) {
		t.Errorf("Request: got %d bytes and error %v, want %d bytes and none", len(got), err, len(body))
	}
}

func TestCall(t *testing.T) {
	r := newRig(t, Options{})
	var wg sync.WaitGroup
	for i := range uint64(100) {
		wg.Go(func() { assertPing(t, r, i) })
	}
	wg.Wait()
}

func TestCallError(t *testing.T) {
	r := newRig(t, Options{})
	_, err := r.client.Call(within(t), r.to, &message.Call{})
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Detail != "no ping" {
		t.Errorf("got %v, want RemoteError with detail \"no ping\"", err)
	}
}

func TestRequestSizes(t *testing.T) {
	r := newRig(t, Options{})
	for _, size := range []int{0, 1, 1000, maxChunk - 1, maxChunk, maxChunk + 1, DefaultWindow, 3 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			assertEcho(t, r, bytes.Repeat([]byte{'x'}, size))
		})
	}
}

func TestRequestSmallWindow(t *testing.T) {
	r := newRig(t, Options{Window: 100})
	for _, size := range []int{99, 100, 101, 1000} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			assertEcho(t, r, bytes.Repeat([]byte{'x'}, size))
		})
	}
}

func TestRequestParallel(t *testing.T) {
	r := newRig(t, Options{})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() { assertEcho(t, r, []byte(strings.Repeat(strconv.Itoa(i), 100*i))) })
	}
	wg.Wait()
}

func TestAnswerBeyondFrameLimit(t *testing.T) {
	r := newRig(t, Options{MaxFrame: 1000})
	large := strings.Repeat("x", 2000)
	r.server.OnCall = func(context.Context, record.Member, *message.Call) (*message.Reply, error) {
		return &message.Reply{Catchup: &message.CatchupReply{Snapshot: []byte(large)}}, nil
	}
	r.server.OnRequest = func(context.Context, record.Member, *message.Request) (*message.Answer, *outcome.Error) {
		answer := answerOf(nil)
		answer.Head.Header["X"] = []string{large}
		return answer, nil
	}
	_, err := r.client.Call(within(t), r.to, ping(1))
	var remote *RemoteError
	if !errors.As(err, &remote) {
		t.Errorf("Call: got error %v, want a *RemoteError", err)
	}
	_, fail := r.client.Request(within(t), r.to, &message.Request{ID: "r"})
	assertOutcome(t, fail, outcome.Unknown, outcome.AnswerCut)
	_, fail = r.client.Request(within(t), r.to, &message.Request{ID: large})
	assertOutcome(t, fail, outcome.NotRun, outcome.TooLarge)
}

func TestIdentify(t *testing.T) {
	r := newRig(t, Options{})
	got, err := r.client.Identify(within(t), r.to.Address)
	if err != nil {
		t.Fatal(err)
	}
	if want := r.to.Incarnation; got.Incarnation != want {
		t.Errorf("got %v, want %v", got.Incarnation, want)
	}
}

func TestOtherIncarnation(t *testing.T) {
	r := newRig(t, Options{})
	r.to.Incarnation.Run = 6
	_, err := r.client.Call(within(t), r.to, ping(1))
	var other *IncarnationMismatch
	if !errors.As(err, &other) || other.Got.Run != 7 {
		t.Errorf("got %v, want IncarnationMismatch with run 7", err)
	}
	_, fail := r.client.Request(within(t), r.to, &message.Request{})
	assertOutcome(t, fail, outcome.NotRun, outcome.HostUnreachable)
}

func assertOutcome(t testing.TB, got *outcome.Error, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	if got == nil || got.Outcome != want || got.Reason != reason {
		t.Errorf("got %v, want %v: %v", got, want, reason)
	}
}
