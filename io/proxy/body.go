package proxy

import (
	"bytes"
	"io"
	"net/http"

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
	unread io.Reader
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
		b.unread = r.Body
		if limit > 0 {
			b.unread = http.MaxBytesReader(nil, r.Body, limit-maxBufferedBody)
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
		return io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), b.unread))
	}
	return io.NopCloser(bytes.NewReader(b.buffered))
}

func (q *request) bodyError(err error) error {
	if errors.Is(err, errBodyTooLarge) {
		return q.fail(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, err)
	}
	return q.fail(http.StatusBadRequest, reasonBodyReadFailed, err)
}

// fullDuplex returns a handler whose response may begin while the request's body is still being sent on.
// Otherwise the server discards a part of the body before it writes a response.
func fullDuplex(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength < 0 || r.ContentLength >= maxBufferedBody {
			if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
				klog.V(1).InfoS("Connection allows no early response", "from", r.RemoteAddr, "err", err)
			}
		}
		handler.ServeHTTP(w, r)
	})
}
