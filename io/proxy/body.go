package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// maxBufferedBody is the size in bytes from which on a request body is streamed
// instead of buffered. A request with a streamed body cannot be retried.
const maxBufferedBody = 256 << 10

var errBodyTooLarge = errors.New("request body exceeds the configured limit")

// body is the body of a caller's request.
type body struct {
	// buffered is the whole body, or the first maxBufferedBody bytes of it.
	buffered []byte
	// unread reads the part of a large body that follows the buffered one; nil
	// if there is none.
	unread *trackedReader
	// sent is the last reader of a large body; nil before.
	sent *sentBody
	// length is in bytes; negative for a large body without Content-Length.
	length int64
}

// read reads the body of r. It returns errBodyTooLarge if the stated length
// exceeds limit, in bytes; zero means no limit.
func (b *body) read(r *http.Request, limit int64) error {
	if limit > 0 && r.ContentLength > limit {
		return errBodyTooLarge
	}
	if r.ContentLength == 0 {
		return nil
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody))
	if err != nil {
		return errors.Wrap(err, "read request body")
	}
	b.buffered = buffered
	b.length = r.ContentLength
	if len(buffered) == maxBufferedBody {
		b.unread = &trackedReader{Reader: r.Body}
		if limit > 0 {
			b.unread.Reader = http.MaxBytesReader(nil, r.Body, limit-maxBufferedBody)
		}
		return nil
	}
	b.length = int64(len(buffered))
	return nil
}

// replayable reports whether the whole body is buffered and can be sent again.
func (b *body) replayable() bool { return b.unread == nil }

// reader returns a reader of the body for one send. It is never nil or
// http.NoBody, because http.Transport retries requests without a body on its
// own.
func (b *body) reader() io.ReadCloser {
	if b.unread != nil {
		b.sent = &sentBody{Reader: io.MultiReader(bytes.NewReader(b.buffered), b.unread), closed: make(chan struct{})}
		return b.sent
	}
	return io.NopCloser(bytes.NewReader(b.buffered))
}

func (q *request) bodyError(err error) error {
	if errors.Is(err, errBodyTooLarge) {
		return q.fail(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, err)
	}
	return q.fail(http.StatusBadRequest, reasonBodyReadFailed, err)
}

// trackedReader remembers that it was read to its end.
type trackedReader struct {
	io.Reader
	ended atomic.Bool
}

func (r *trackedReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	if errors.Is(err, io.EOF) {
		r.ended.Store(true)
	}
	return n, err
}

// streaming reports whether a part of the body is still to be read from the caller.
func (b *body) streaming() bool { return b.unread != nil && !b.unread.ended.Load() }

// restTime returns the expected time until the rest of a body is read from the caller, of which the first
// part took elapsed.
func (b *body) restTime(elapsed time.Duration) time.Duration {
	if !b.streaming() {
		return 0
	}
	if b.length < 0 {
		return elapsed
	}
	return time.Duration(float64(elapsed) * float64(b.length-maxBufferedBody) / maxBufferedBody)
}

// sentBody is the reader of a streamed body for one send, which the transport closes when it reads no
// more.
type sentBody struct {
	io.Reader
	closed chan struct{}
	once   sync.Once
}

func (s *sentBody) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// prepare prepares the response to a request whose body may still be read: it begins while the rest is sent
// on, of which the server would discard a part otherwise. The connection can't be used again after that.
func (b *body) prepare(w http.ResponseWriter) {
	if !b.streaming() {
		return
	}
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		klog.V(1).InfoS("Connection allows no response before the end of the request", "err", err)
	}
	w.Header().Set("Connection", "close")
}

// finish waits, after the response was written, until the rest of the body is sent on or its send has
// ended, timeout at most: the server, which reads what is left, must not do so beside the transport.
func (b *body) finish(w http.ResponseWriter, timeout time.Duration) {
	if !b.streaming() {
		return
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-b.sent.closed:
	case <-timer.C:
	}
}
