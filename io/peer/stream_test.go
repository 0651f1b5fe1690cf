package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
)

// streamResponse makes the server respond to the request "stream" with a body
// that the test writes.
func streamResponse(r *fixture) *io.PipeWriter {
	body, w := io.Pipe()
	r.server.OnRequest = func(ctx context.Context, from record.Member, q *message.Request) (*message.Response, *outcome.Error) {
		if q.ID != "stream" {
			return echoRequest(ctx, from, q)
		}
		return &message.Response{Head: message.Head{Status: http.StatusOK}, Body: body}, nil
	}
	return w
}

// requestStream sends the request "stream" and returns the response body.
func requestStream(ctx context.Context, t *testing.T, r *fixture) io.ReadCloser {
	t.Helper()
	response, fail := r.client.Request(ctx, r.to, &message.Request{ID: "stream"})
	if fail != nil {
		t.Fatalf("Request: got error %v, want none", fail)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response.Body
}

// assertTruncated reads a body to its end and checks that it was truncated
// after want.
func assertTruncated(t *testing.T, body io.Reader, want string) {
	t.Helper()
	got, err := io.ReadAll(body)
	if string(got) != want {
		t.Errorf("got body %q, want %q", got, want)
	}
	var truncated *TruncatedError
	if !errors.As(err, &truncated) || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v, want a *TruncatedError that is io.ErrUnexpectedEOF", err)
	}
}

func TestResponseTruncated(t *testing.T) {
	cases := map[string]func(relay *relay, w *io.PipeWriter){
		"connection closed":   func(relay *relay, _ *io.PipeWriter) { relay.closeLinks() },
		"truncated by target": func(_ *relay, w *io.PipeWriter) { _ = w.CloseWithError(io.ErrUnexpectedEOF) },
		"silent connection":   func(relay *relay, _ *io.PipeWriter) { relay.stall() },
	}
	for name, interrupt := range cases {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, Options{RequestConns: 1, SilenceTimeout: 5 * shortTimeout, KeepaliveInterval: shortTimeout})
			relay := newRelay(t, r)
			w := streamResponse(r)
			body := requestStream(testContext(t), t, r)
			_, _ = w.Write([]byte("part"))
			got := make([]byte, 4)
			if _, err := io.ReadFull(body, got); err != nil || string(got) != "part" {
				t.Fatalf("got %q and error %v, want %q and none", got, err, "part")
			}
			interrupt(relay, w)
			assertTruncated(t, body, "")
			// The server's end is released as well.
			eventually(t, "writer released", func() bool { _, err := w.Write([]byte("x")); return err != nil })
		})
	}
}

func TestCancel(t *testing.T) {
	t.Run("the other host reports the outcome", func(t *testing.T) {
		r := newFixture(t, Options{CancelGrace: testTimeout})
		started, ended := holdRequest(r, outcome.Refuse(outcome.Cancelled, "", 0))
		ctx, cancel := context.WithCancel(context.Background())
		failed := sendHeldRequest(ctx, r)
		await(t, "request started", started)
		cancel()
		await(t, "request's context ended", ended)
		assertOutcome(t, await(t, "request failed", failed), outcome.NotRun, outcome.Cancelled)
	})
	t.Run("the other host does not respond", func(t *testing.T) {
		r := newFixture(t, Options{CancelGrace: time.Millisecond})
		relay := newRelay(t, r)
		started, _ := holdRequest(r, nil)
		ctx, cancel := context.WithCancel(context.Background())
		failed := sendHeldRequest(ctx, r)
		await(t, "request started", started)
		relay.stall()
		cancel()
		assertOutcome(t, await(t, "request failed", failed), outcome.Unknown, outcome.Cancelled)
	})
	t.Run("while reading the body", func(t *testing.T) {
		r := newFixture(t, Options{})
		w := streamResponse(r)
		ctx, cancel := context.WithCancel(context.Background())
		body := requestStream(ctx, t, r)
		cancel()
		assertTruncated(t, body, "")
		eventually(t, "writer released", func() bool { _, err := w.Write([]byte("x")); return err != nil })
	})
	t.Run("by closing the body", func(t *testing.T) {
		r := newFixture(t, Options{})
		w := streamResponse(r)
		_ = requestStream(testContext(t), t, r).Close()
		eventually(t, "writer released", func() bool { _, err := w.Write([]byte("x")); return err != nil })
	})
}

// TestSlowReader leaves a response unread. Other requests on the same
// connection must succeed, and the server must not send more than the window of
// the unread response.
func TestSlowReader(t *testing.T) {
	r := newFixture(t, Options{RequestConns: 1})
	w := streamResponse(r)
	body := requestStream(testContext(t), t, r)
	large := bytes.Repeat([]byte("0123456789abcdef"), 1<<18) // 4 MiB
	var written atomic.Int64
	go func() {
		for rest := large; len(rest) > 0; rest = rest[1<<10:] {
			n, _ := w.Write(rest[:1<<10])
			written.Add(int64(n))
		}
		_ = w.Close()
	}()
	eventually(t, "window filled", func() bool { return written.Load() >= DefaultWindow })
	for range 100 {
		assertEcho(t, r, []byte("not blocked"))
	}
	if got, most := written.Load(), int64(DefaultWindow+maxChunk); got > most {
		t.Errorf("got %d unread bytes accepted, want at most %d", got, most)
	}
	got, err := io.ReadAll(body)
	if err != nil || !bytes.Equal(got, large) {
		t.Errorf("got %d bytes and error %v, want the %d bytes that were sent and none", len(got), err, len(large))
	}
}
