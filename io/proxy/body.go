package proxy

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// keptBody is the largest body in bytes that is kept so that the request can be
// sent again.
const keptBody = 256 << 10

var errTooLarge = errors.New("body is larger than the operator allows")

// body is a request's body.
type body struct {
	kept []byte
	// rest is what follows the kept part of a large body.
	rest   io.Reader
	length int64
}

func (b *body) read(r *http.Request, most int64) error {
	if most > 0 && r.ContentLength > most {
		return errTooLarge
	}
	if r.ContentLength == 0 {
		return nil
	}
	kept, err := io.ReadAll(io.LimitReader(r.Body, keptBody))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	b.kept = kept
	b.length = r.ContentLength
	if len(kept) == keptBody {
		b.rest = r.Body
		if most > 0 {
			b.rest = http.MaxBytesReader(nil, r.Body, most-keptBody)
		}
		return nil
	}
	b.length = int64(len(kept))
	return nil
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool { return b.rest == nil }

// reader returns the body for a send. It is never nil or http.NoBody, as the
// transport would send a request without a body again by itself.
func (b *body) reader() io.ReadCloser {
	if b.rest != nil {
		return io.NopCloser(io.MultiReader(bytes.NewReader(b.kept), b.rest))
	}
	return io.NopCloser(bytes.NewReader(b.kept))
}

func (q *request) bodyFailure(err error) error {
	if errors.Is(err, errTooLarge) {
		return q.fail(http.StatusRequestEntityTooLarge, reasonTooLarge, err)
	}
	return q.fail(http.StatusBadRequest, reasonBadBody, err)
}
