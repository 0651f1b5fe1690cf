package peer

import (
	"context"
	"io"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/kit/metrics"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
)

// shortTimeout is the base of the timeouts and intervals in tests that wait for
// them.
const shortTimeout = 200 * time.Millisecond

// totalCounter is a counter that ignores labels.
type totalCounter struct{ atomic.Int64 }

func (c *totalCounter) With(...string) metrics.Counter { return c }

func (c *totalCounter) Add(delta float64) { c.Int64.Add(int64(delta)) }

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// await receives a value from a channel.
func await[T any](t *testing.T, what string, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for: %s", what)
	}
	return value
}

// holdRequest makes the server hold the request "held" until its context ends,
// and then return failure. The channels signal the start and the end of a
// request.
func holdRequest(r *fixture, failure *outcome.Error) (started, ended chan struct{}) {
	started, ended = make(chan struct{}, 10), make(chan struct{}, 10)
	r.server.OnRequest = func(ctx context.Context, from record.Member, q *message.Request) (*message.Response, *outcome.Error) {
		if q.ID != "held" {
			return echoRequest(ctx, from, q)
		}
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return nil, failure
	}
	return started, ended
}

// sendHeldRequest sends the request that the handler of holdRequest holds.
func sendHeldRequest(ctx context.Context, r *fixture) chan *outcome.Error {
	failed := make(chan *outcome.Error, 1)
	go func() {
		_, fail := r.client.Request(ctx, r.to, &message.Request{ID: "held"})
		failed <- fail
	}()
	return failed
}

// TestUnreachable guards against a request to a host that accepts no connection whose
// outcome is reported as unknown although it was not sent.
func TestUnreachable(t *testing.T) {
	r := newFixture(t, Options{})
	relay := newRelay(t, r)
	relay.stopAccepting()
	_, fail := r.client.Request(testContext(t), r.to, &message.Request{ID: "r"})
	assertOutcome(t, fail, outcome.NotRun, outcome.HostUnreachable)
}

// TestConnectionClosedInFlight guards against a closed connection that leaves a request
// in flight without an outcome, its handler running, or later requests failing.
func TestConnectionClosedInFlight(t *testing.T) {
	r := newFixture(t, Options{RequestConns: 1})
	relay := newRelay(t, r)
	started, ended := holdRequest(r, outcome.Refuse(outcome.Cancelled, "", 0))
	failed := sendHeldRequest(testContext(t), r)
	await(t, "request started", started)
	relay.closeLinks()
	assertOutcome(t, await(t, "request failed", failed), outcome.Unknown, outcome.HostUnreachable)
	await(t, "request's context ended", ended)
	assertEcho(t, r, []byte("over a new connection"))
}

// TestConnectionSilentInFlight guards against a silent connection that is not detected
// while a request is in flight, or that makes later calls and requests fail although the
// host can be reached over a new connection.
func TestConnectionSilentInFlight(t *testing.T) {
	silent := new(totalCounter)
	r := newFixture(t, Options{RequestConns: 1, SilenceTimeout: shortTimeout, KeepaliveInterval: shortTimeout / 4, Metrics: Metrics{Silent: silent}})
	relay := newRelay(t, r)
	started, ended := holdRequest(r, outcome.Refuse(outcome.Cancelled, "", 0))
	failed := sendHeldRequest(testContext(t), r)
	await(t, "request started", started)
	assertPing(t, r, 1)
	relay.stall()
	fail := await(t, "request failed", failed)
	assertOutcome(t, fail, outcome.Unknown, outcome.HostUnreachable)
	if want := "a fresh one works"; !strings.Contains(fail.Detail, want) {
		t.Errorf("got detail %q, want one with %q", fail.Detail, want)
	}
	await(t, "request's context ended", ended)
	assertEcho(t, r, []byte("over a new connection"))
	assertPing(t, r, 2) // first on the silent connection, then on a new one
	if got := silent.Load(); got < 2 {
		t.Errorf("got %d silent connections counted, want 2 or more", got)
	}
}

// TestCallRetry closes the connection while the first attempt of a call is in
// flight. A call is retried on a new connection, except for a Witness: the
// reply to the second attempt would report the id as already known.
func TestCallRetry(t *testing.T) {
	cases := map[string]struct {
		call *message.Call
		want int32
	}{
		"ping":    {ping(1), 2},
		"witness": {&message.Call{Witness: &message.Witness{Request: "r"}}, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, Options{})
			relay := newRelay(t, r)
			var received atomic.Int32
			r.server.OnCall = func(ctx context.Context, _ record.Member, _ *message.Call) (*message.Reply, error) {
				if received.Add(1) == 1 {
					relay.closeLinks()
					<-ctx.Done()
				}
				return &message.Reply{Ping: &message.Pong{}}, nil
			}
			_, err := r.client.Call(testContext(t), r.to, test.call)
			if got := received.Load(); got != test.want || (err == nil) != (got == 2) {
				t.Errorf("got %d calls and error %v, want %d calls and an error only after a single one", got, err, test.want)
			}
		})
	}
}

// TestLongRequestKeepsConnection holds a request for longer than the silence
// timeout. The connection must stay open, because pings and pongs are received.
func TestLongRequestKeepsConnection(t *testing.T) {
	const pings = 20
	frames := new(totalCounter)
	options := Options{RequestConns: 1, SilenceTimeout: 10 * shortTimeout, KeepaliveInterval: shortTimeout, CancelGrace: testTimeout}
	options.Metrics.Frames = frames
	r := newFixture(t, options)
	started, _ := holdRequest(r, outcome.Refuse(outcome.Cancelled, "", 0))
	ctx, cancel := context.WithCancel(context.Background())
	failed := sendHeldRequest(ctx, r)
	await(t, "request started", started)
	// Each ping and each pong is counted at both ends, for both ends' pings.
	eventually(t, "pings and pongs", func() bool { return frames.Load() > 8*pings })
	cancel()
	assertOutcome(t, await(t, "request failed", failed), outcome.NotRun, outcome.Cancelled)
}

// TestSilenceDetectedWithShortCalls sends calls whose deadline is much shorter
// than the silence timeout. The silent connection must be detected
// nevertheless, and a later call must succeed on a new connection.
func TestSilenceDetectedWithShortCalls(t *testing.T) {
	r := newFixture(t, Options{SilenceTimeout: 5 * shortTimeout, KeepaliveInterval: shortTimeout})
	relay := newRelay(t, r)
	assertPing(t, r, 1)
	relay.stall()
	eventually(t, "reply over a new connection", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), shortTimeout/2)
		defer cancel()
		_, err := r.client.Call(ctx, r.to, ping(2))
		time.Sleep(shortTimeout / 2) // leaves the connection without a call in flight meanwhile
		return err == nil
	})
}

// TestSilentHostUnreachable guards against an error that does not say that the other host
// accepts no new connection either after a connection went silent.
func TestSilentHostUnreachable(t *testing.T) {
	r := newFixture(t, Options{RequestConns: 1, SilenceTimeout: shortTimeout, KeepaliveInterval: shortTimeout / 4})
	relay := newRelay(t, r)
	started, _ := holdRequest(r, nil)
	failed := sendHeldRequest(testContext(t), r)
	await(t, "request started", started)
	relay.stopAccepting()
	relay.stall()
	fail := await(t, "request failed", failed)
	assertOutcome(t, fail, outcome.Unknown, outcome.HostUnreachable)
	if want := "no fresh one"; !strings.Contains(fail.Detail, want) {
		t.Errorf("got detail %q, want one with %q", fail.Detail, want)
	}
}

// TestRequestsQueuedOnSilentConnection sends more requests than a silent
// connection accepts. Requests that were never written to it must run on a new
// connection, and none may run twice.
func TestRequestsQueuedOnSilentConnection(t *testing.T) {
	const requests = 32
	r := newFixture(t, Options{RequestConns: 1, SilenceTimeout: 5 * shortTimeout, KeepaliveInterval: shortTimeout})
	relay := newRelay(t, r)
	var ran [requests]atomic.Int32
	r.server.OnRequest = func(_ context.Context, _ record.Member, q *message.Request) (*message.Response, *outcome.Error) {
		if i, err := strconv.Atoi(q.ID); err == nil {
			ran[i].Add(1)
		}
		return responseOf(nil), nil
	}
	assertNoBody(t, r, "warm")
	relay.stall()
	body := make([]byte, 3<<20)
	var done, unknown atomic.Int32
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			response, fail := r.client.Request(testContext(t), r.to, &message.Request{ID: strconv.Itoa(i), Body: body})
			if fail == nil {
				_ = response.Body.Close()
				done.Add(1)
				return
			}
			unknown.Add(1)
			assertOutcome(t, fail, outcome.Unknown, outcome.HostUnreachable)
		})
	}
	wg.Wait()
	if done.Load() == 0 || unknown.Load() == 0 {
		t.Errorf("got %d done and %d unknown, want some of each", done.Load(), unknown.Load())
	}
	for i := range ran {
		if got := ran[i].Load(); got > 1 {
			t.Errorf("request %d: ran %d times, want at most once", i, got)
		}
	}
}

func assertNoBody(t *testing.T, r *fixture, id string) {
	t.Helper()
	response, fail := r.client.Request(testContext(t), r.to, &message.Request{ID: id})
	if fail != nil {
		t.Fatalf("Request: got error %v, want none", fail)
	}
	_ = response.Body.Close()
}

// TestControlNotBlockedByRequests blocks all request connections. Control calls
// must succeed nevertheless.
func TestControlNotBlockedByRequests(t *testing.T) {
	r := newFixture(t, Options{})
	relay := newRelay(t, r)
	started, _ := holdRequest(r, outcome.Refuse(outcome.Cancelled, "", 0))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range DefaultRequestConns {
		sendHeldRequest(ctx, r)
		await(t, "request started", started)
	}
	relay.stall()
	body := make([]byte, 3<<20)
	for range 4 * DefaultRequestConns {
		go func() { _, _ = r.client.Request(ctx, r.to, &message.Request{ID: "r", Body: body}) }()
	}
	for i := range uint64(100) {
		assertPing(t, r, i)
	}
}

// TestOverloaded guards against a server that runs more requests at once than its limits
// allow, or that does not accept requests again afterwards.
func TestOverloaded(t *testing.T) {
	cases := map[string]Options{
		"workers": {RequestWorkers: 1},
		"bytes":   {RequestBytes: 1},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, options)
			started, _ := holdRequest(r, outcome.Refuse(outcome.Cancelled, "", 0))
			ctx, cancel := context.WithCancel(context.Background())
			failed := sendHeldRequest(ctx, r)
			await(t, "request started", started)
			_, fail := r.client.Request(testContext(t), r.to, &message.Request{ID: "r"})
			assertOutcome(t, fail, outcome.NotRun, outcome.Overloaded)
			cancel()
			_ = await(t, "request failed", failed)
			eventually(t, "requests accepted again", func() bool {
				response, fail := r.client.Request(testContext(t), r.to, &message.Request{ID: "r"})
				if fail == nil {
					_ = response.Body.Close()
				}
				return fail == nil
			})
		})
	}
}

// TestServerCloseIsGraceful guards against a closing server that truncates the response of
// a request in flight, or that runs new requests.
func TestServerCloseIsGraceful(t *testing.T) {
	r := newFixture(t, Options{RequestConns: 1})
	w := streamResponse(r)
	body := requestStream(testContext(t), t, r)
	closed := make(chan error, 1)
	go func() { closed <- r.server.Close(testContext(t)) }()
	eventually(t, "new requests refused", func() bool {
		response, fail := r.client.Request(testContext(t), r.to, &message.Request{ID: "r"})
		if fail == nil {
			_ = response.Body.Close()
			return false
		}
		if fail.Outcome != outcome.NotRun {
			t.Errorf("got %v, want NotRun", fail)
		}
		return true
	})
	go func() {
		_, _ = w.Write([]byte("complete response"))
		_ = w.Close()
	}()
	got, err := io.ReadAll(body)
	if err != nil || string(got) != "complete response" {
		t.Errorf("got %q and error %v, want %q and none", got, err, "complete response")
	}
	assertIs(t, await(t, "server closed", closed), nil)
}

// TestServerCloseContextEnded guards against a Close that waits for requests in flight
// after its context has ended, or that leaves them without an outcome.
func TestServerCloseContextEnded(t *testing.T) {
	r := newFixture(t, Options{})
	started, ended := holdRequest(r, nil)
	failed := sendHeldRequest(testContext(t), r)
	await(t, "request started", started)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assertIs(t, r.server.Close(ctx), context.Canceled)
	await(t, "request's context ended", ended)
	assertOutcome(t, await(t, "request failed", failed), outcome.Unknown, outcome.HostUnreachable)
}

// TestNoGoroutineLeak guards against goroutines that remain after connections were closed
// or went silent, or a call reached another incarnation.
func TestNoGoroutineLeak(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("use", func(t *testing.T) {
		r := newFixture(t, Options{SilenceTimeout: shortTimeout, KeepaliveInterval: shortTimeout / 4})
		relay := newRelay(t, r)
		started, ended := holdRequest(r, outcome.Refuse(outcome.Cancelled, "", 0))
		for _, interrupt := range []func(){relay.closeLinks, relay.stall} {
			assertPing(t, r, 1)
			failed := sendHeldRequest(testContext(t), r)
			await(t, "request started", started)
			interrupt()
			_ = await(t, "request failed", failed)
			await(t, "request's context ended", ended)
		}
		r.to.Incarnation.Run = 1
		_, _ = r.client.Call(testContext(t), r.to, ping(1))
	})
	eventually(t, "goroutines ended", func() bool { return runtime.NumGoroutine() <= before })
}
