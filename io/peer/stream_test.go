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

// streaming makes the server answer with a body that a test writes.
func streaming(r *rig) *io.PipeWriter {
	body, w := io.Pipe()
	r.server.OnRequest = func(ctx context.Context, from record.Member, q *message.Request) (*message.Answer, *outcome.Error) {
		if q.ID != "stream" {
			return echoRequest(ctx, from, q)
		}
		return &message.Answer{Head: message.Head{Status: http.StatusOK}, Body: body}, nil
	}
	return w
}

// openStream asks for the answer that streaming gives.
func openStream(ctx context.Context, t *testing.T, r *rig) io.ReadCloser {
	t.Helper()
	answer, fail := r.client.Request(ctx, r.to, &message.Request{ID: "stream"})
	if fail != nil {
		t.Fatalf("Request: got error %v, want none", fail)
	}
	t.Cleanup(func() { _ = answer.Body.Close() })
	return answer.Body
}

// assertCut reads a body to its end and checks that it was cut after want.
func assertCut(t *testing.T, body io.Reader, want string) {
	t.Helper()
	got, err := io.ReadAll(body)
	if string(got) != want {
		t.Errorf("got body %q, want %q", got, want)
	}
	var cut *TruncatedError
	if !errors.As(err, &cut) || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v, want a *CutError that is io.ErrUnexpectedEOF", err)
	}
}

func TestAnswerCut(t *testing.T) {
	cases := map[string]func(y *relay, w *io.PipeWriter){
		"connection cut": func(y *relay, _ *io.PipeWriter) { y.cut() },
		"target's cut":   func(_ *relay, w *io.PipeWriter) { _ = w.CloseWithError(io.ErrUnexpectedEOF) },
		"silence":        func(y *relay, _ *io.PipeWriter) { y.hold() },
	}
	for name, breakIt := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, Options{RequestConns: 1, SilenceTimeout: 5 * soon, KeepaliveInterval: soon})
			y := newRelay(t, r)
			w := streaming(r)
			body := openStream(within(t), t, r)
			_, _ = w.Write([]byte("part"))
			got := make([]byte, 4)
			if _, err := io.ReadFull(body, got); err != nil || string(got) != "part" {
				t.Fatalf("got %q and error %v, want %q and none", got, err, "part")
			}
			breakIt(y, w)
			assertCut(t, body, "")
			// The sender's end is released too.
			eventually(t, "writer released", func() bool { _, err := w.Write([]byte("x")); return err != nil })
		})
	}
}

func TestCancel(t *testing.T) {
	t.Run("the other host says what became of it", func(t *testing.T) {
		r := newRig(t, Options{CancelGrace: limit})
		started, ended := holding(r, outcome.Refuse(outcome.Cancelled, "", 0))
		ctx, cancel := context.WithCancel(context.Background())
		failed := requestHeld(ctx, r)
		await(t, "request started", started)
		cancel()
		await(t, "request's context ended", ended)
		assertOutcome(t, await(t, "request failed", failed), outcome.NotRun, outcome.Cancelled)
	})
	t.Run("the other host says nothing", func(t *testing.T) {
		r := newRig(t, Options{CancelGrace: time.Millisecond})
		y := newRelay(t, r)
		started, _ := holding(r, nil)
		ctx, cancel := context.WithCancel(context.Background())
		failed := requestHeld(ctx, r)
		await(t, "request started", started)
		y.hold()
		cancel()
		assertOutcome(t, await(t, "request failed", failed), outcome.Unknown, outcome.Cancelled)
	})
	t.Run("while the body is read", func(t *testing.T) {
		r := newRig(t, Options{})
		w := streaming(r)
		ctx, cancel := context.WithCancel(context.Background())
		body := openStream(ctx, t, r)
		cancel()
		assertCut(t, body, "")
		eventually(t, "writer released", func() bool { _, err := w.Write([]byte("x")); return err != nil })
	})
	t.Run("by closing the body", func(t *testing.T) {
		r := newRig(t, Options{})
		w := streaming(r)
		_ = openStream(within(t), t, r).Close()
		eventually(t, "writer released", func() bool { _, err := w.Write([]byte("x")); return err != nil })
	})
}

// TestSlowReader leaves an answer unread. Others on the same connection go on,
// and the unread one takes no more than its window.
func TestSlowReader(t *testing.T) {
	r := newRig(t, Options{RequestConns: 1})
	w := streaming(r)
	body := openStream(within(t), t, r)
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
		assertEcho(t, r, []byte("passes by"))
	}
	if got, most := written.Load(), int64(DefaultWindow+maxChunk); got > most {
		t.Errorf("got %d bytes taken unread, want at most %d", got, most)
	}
	got, err := io.ReadAll(body)
	if err != nil || !bytes.Equal(got, large) {
		t.Errorf("got %d bytes and error %v, want the %d bytes that were sent and none", len(got), err, len(large))
	}
}
