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

// soon is a silence that tests wait for.
const soon = 200 * time.Millisecond

// total is a counter that leaves labels out.
type total struct{ atomic.Int64 }

func (c *total) With(...string) metrics.Counter { return c }

func (c *total) Add(delta float64) { c.Int64.Add(int64(delta)) }

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// await receives from a channel.
func await[T any](t *testing.T, what string, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(limit):
		t.Fatalf("never: %s", what)
	}
	return value
}

// holding makes the server hold the request "held" until its context ends,
// and then answer with said. It reports the start and the end.
func holding(r *rig, said *outcome.Error) (started, ended chan struct{}) {
	started, ended = make(chan struct{}, 10), make(chan struct{}, 10)
	r.server.OnRequest = func(ctx context.Context, from record.Member, q *message.Request) (*message.Answer, *outcome.Error) {
		if q.ID != "held" {
			return echoRequest(ctx, from, q)
		}
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return nil, said
	}
	return started, ended
}

// requestHeld sends the request that holding holds.
func requestHeld(ctx context.Context, r *rig) chan *outcome.Error {
	failed := make(chan *outcome.Error, 1)
	go func() {
		_, fail := r.client.Request(ctx, r.to, &message.Request{ID: "held"})
		failed <- fail
	}()
	return failed
}

func TestUnreachable(t *testing.T) {
	r := newRig(t, Options{})
	y := newRelay(t, r)
	y.stopAccepting()
	_, fail := r.client.Request(within(t), r.to, &message.Request{ID: "r"})
	assertOutcome(t, fail, outcome.NotRun, outcome.HostUnreachable)
}

func TestCutInFlight(t *testing.T) {
	r := newRig(t, Options{RequestConns: 1})
	y := newRelay(t, r)
	started, ended := holding(r, outcome.Refuse(outcome.Cancelled, "", 0))
	failed := requestHeld(within(t), r)
	await(t, "request started", started)
	y.cut()
	assertOutcome(t, await(t, "request failed", failed), outcome.Unknown, outcome.HostUnreachable)
	await(t, "request's context ended", ended)
	assertEcho(t, r, []byte("over a fresh connection"))
}

func TestSilentInFlight(t *testing.T) {
	silent := new(total)
	r := newRig(t, Options{RequestConns: 1, SilenceTimeout: soon, KeepaliveInterval: soon / 4, Metrics: Metrics{Silent: silent}})
	y := newRelay(t, r)
	started, ended := holding(r, outcome.Refuse(outcome.Cancelled, "", 0))
	failed := requestHeld(within(t), r)
	await(t, "request started", started)
	assertPing(t, r, 1)
	y.hold()
	fail := await(t, "request failed", failed)
	assertOutcome(t, fail, outcome.Unknown, outcome.HostUnreachable)
	if want := "a fresh one works"; !strings.Contains(fail.Detail, want) {
		t.Errorf("got detail %q, want one with %q", fail.Detail, want)
	}
	await(t, "request's context ended", ended)
	assertEcho(t, r, []byte("over a fresh connection"))
	assertPing(t, r, 2) // sent on the silent connection first, then on a fresh one
	if got := silent.Load(); got < 2 {
		t.Errorf("got %d silent connections counted, want 2 or more", got)
	}
}

// TestCallsAskedAgain cuts the connection under a first question. A Witness
// is not asked again, because a second answer would say that it is known.
func TestCallsAskedAgain(t *testing.T) {
	cases := map[string]struct {
		call *message.Call
		want int32
	}{
		"ping":    {ping(1), 2},
		"witness": {&message.Call{Witness: &message.Witness{Request: "r"}}, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, Options{})
			y := newRelay(t, r)
			var asked atomic.Int32
			r.server.OnCall = func(ctx context.Context, _ record.Member, _ *message.Call) (*message.Reply, error) {
				if asked.Add(1) == 1 {
					y.cut()
					<-ctx.Done()
				}
				return &message.Reply{Ping: &message.Pong{}}, nil
			}
			_, err := r.client.Call(within(t), r.to, test.call)
			if got := asked.Load(); got != test.want || (err == nil) != (got == 2) {
				t.Errorf("got asked %d times and error %v, want %d times and an error only if once", got, err, test.want)
			}
		})
	}
}

// TestQuietIsNotSilent holds a request for longer than a connection may be
// silent. Pings show that the other host is there.
func TestQuietIsNotSilent(t *testing.T) {
	const pings = 20
	frames := new(total)
	options := Options{RequestConns: 1, SilenceTimeout: 10 * soon, KeepaliveInterval: soon, CancelGrace: limit}
	options.Metrics.Frames = frames
	r := newRig(t, options)
	started, _ := holding(r, outcome.Refuse(outcome.Cancelled, "", 0))
	ctx, cancel := context.WithCancel(context.Background())
	failed := requestHeld(ctx, r)
	await(t, "request started", started)
	// Each ping and each pong is counted at both ends, for both ends' pings.
	eventually(t, "pings and pongs", func() bool { return frames.Load() > 8*pings })
	cancel()
	assertOutcome(t, await(t, "request failed", failed), outcome.NotRun, outcome.Cancelled)
}

// TestSilentToShortCalls asks questions that give up long before a connection
// counts as silent. It is found all the same, and a fresh one answers.
func TestSilentToShortCalls(t *testing.T) {
	r := newRig(t, Options{SilenceTimeout: 5 * soon, KeepaliveInterval: soon})
	y := newRelay(t, r)
	assertPing(t, r, 1)
	y.hold()
	eventually(t, "answer over a fresh connection", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), soon/2)
		defer cancel()
		_, err := r.client.Call(ctx, r.to, ping(2))
		time.Sleep(soon / 2) // leaves the connection without a question meanwhile
		return err == nil
	})
}

func TestSilentHostUnreachable(t *testing.T) {
	r := newRig(t, Options{RequestConns: 1, SilenceTimeout: soon, KeepaliveInterval: soon / 4})
	y := newRelay(t, r)
	started, _ := holding(r, nil)
	failed := requestHeld(within(t), r)
	await(t, "request started", started)
	y.stopAccepting()
	y.hold()
	fail := await(t, "request failed", failed)
	assertOutcome(t, fail, outcome.Unknown, outcome.HostUnreachable)
	if want := "no fresh one"; !strings.Contains(fail.Detail, want) {
		t.Errorf("got detail %q, want one with %q", fail.Detail, want)
	}
}

// TestQueuedBehindSilence has more requests under way than the silent
// connection takes. Those that were never handed to it run over a fresh one,
// and none runs twice.
func TestQueuedBehindSilence(t *testing.T) {
	const requests = 32
	r := newRig(t, Options{RequestConns: 1, SilenceTimeout: 5 * soon, KeepaliveInterval: soon})
	y := newRelay(t, r)
	var ran [requests]atomic.Int32
	r.server.OnRequest = func(_ context.Context, _ record.Member, q *message.Request) (*message.Answer, *outcome.Error) {
		if i, err := strconv.Atoi(q.ID); err == nil {
			ran[i].Add(1)
		}
		return answerOf(nil), nil
	}
	assertNoBody(t, r, "warm")
	y.hold()
	body := make([]byte, 3<<20)
	var done, unknown atomic.Int32
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			answer, fail := r.client.Request(within(t), r.to, &message.Request{ID: strconv.Itoa(i), Body: body})
			if fail == nil {
				_ = answer.Body.Close()
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

func assertNoBody(t *testing.T, r *rig, id string) {
	t.Helper()
	answer, fail := r.client.Request(within(t), r.to, &message.Request{ID: id})
	if fail != nil {
		t.Fatalf("Request: got error %v, want none", fail)
	}
	_ = answer.Body.Close()
}

// TestControlPassesRequests holds up every connection for requests.
func TestControlPassesRequests(t *testing.T) {
	r := newRig(t, Options{})
	y := newRelay(t, r)
	started, _ := holding(r, outcome.Refuse(outcome.Cancelled, "", 0))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range DefaultRequestConns {
		requestHeld(ctx, r)
		await(t, "request started", started)
	}
	y.hold()
	body := make([]byte, 3<<20)
	for range 4 * DefaultRequestConns {
		go func() { _, _ = r.client.Request(ctx, r.to, &message.Request{ID: "r", Body: body}) }()
	}
	for i := range uint64(100) {
		assertPing(t, r, i)
	}
}

func TestOverloaded(t *testing.T) {
	cases := map[string]Options{
		"workers": {RequestWorkers: 1},
		"bytes":   {RequestBytes: 1},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, options)
			started, _ := holding(r, outcome.Refuse(outcome.Cancelled, "", 0))
			ctx, cancel := context.WithCancel(context.Background())
			failed := requestHeld(ctx, r)
			await(t, "request started", started)
			_, fail := r.client.Request(within(t), r.to, &message.Request{ID: "r"})
			assertOutcome(t, fail, outcome.NotRun, outcome.Overloaded)
			cancel()
			_ = await(t, "request failed", failed)
			eventually(t, "room again", func() bool {
				answer, fail := r.client.Request(within(t), r.to, &message.Request{ID: "r"})
				if fail == nil {
					_ = answer.Body.Close()
				}
				return fail == nil
			})
		})
	}
}

func TestServerCloseIsGraceful(t *testing.T) {
	r := newRig(t, Options{RequestConns: 1})
	w := streaming(r)
	body := openStream(within(t), t, r)
	closed := make(chan error, 1)
	go func() { closed <- r.server.Close(within(t)) }()
	eventually(t, "new requests refused", func() bool {
		answer, fail := r.client.Request(within(t), r.to, &message.Request{ID: "r"})
		if fail == nil {
			_ = answer.Body.Close()
			return false
		}
		if fail.Outcome != outcome.NotRun {
			t.Errorf("got %v, want NotRun", fail)
		}
		return true
	})
	go func() {
		_, _ = w.Write([]byte("whole answer"))
		_ = w.Close()
	}()
	got, err := io.ReadAll(body)
	if err != nil || string(got) != "whole answer" {
		t.Errorf("got %q and error %v, want %q and none", got, err, "whole answer")
	}
	assertIs(t, await(t, "server closed", closed), nil)
}

func TestServerCloseEndsWithContext(t *testing.T) {
	r := newRig(t, Options{})
	started, ended := holding(r, nil)
	failed := requestHeld(within(t), r)
	await(t, "request started", started)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assertIs(t, r.server.Close(ctx), context.Canceled)
	await(t, "request's context ended", ended)
	assertOutcome(t, await(t, "request failed", failed), outcome.Unknown, outcome.HostUnreachable)
}

func TestNoGoroutineLeak(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("use", func(t *testing.T) {
		r := newRig(t, Options{SilenceTimeout: soon, KeepaliveInterval: soon / 4})
		y := newRelay(t, r)
		started, ended := holding(r, outcome.Refuse(outcome.Cancelled, "", 0))
		for _, breakIt := range []func(){y.cut, y.hold} {
			assertPing(t, r, 1)
			failed := requestHeld(within(t), r)
			await(t, "request started", started)
			breakIt()
			_ = await(t, "request failed", failed)
			await(t, "request's context ended", ended)
		}
		r.to.Incarnation.Run = 1
		_, _ = r.client.Call(within(t), r.to, ping(1))
	})
	eventually(t, "goroutines ended", func() bool { return runtime.NumGoroutine() <= before })
}
