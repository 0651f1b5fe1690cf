package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"pineturn/platform"
)

// keptAnswer is the largest answer in bytes that is read whole before any of it
// is passed on.
const keptAnswer = 256 << 10

// answer is a target's answer.
type answer struct {
	request *request
	status  int
	header  http.Header
	said    platform.ResponseInfo
	body    []byte
	// rest follows the body of a large answer.
	rest   io.ReadCloser
	cancel context.CancelFunc
}

// Errors of answers that are not the target's own, whole answer.
var (
	errOtherRequest = errors.New("answer belongs to another request")
	errUnsigned     = errors.New("answer is not signed")
	errEncoded      = errors.New("answer's body is encoded")
)

// readAnswer checks that an answer belongs to a request and reads it.
func readAnswer(q *request, resp *http.Response) (*answer, error) {
	a := &answer{
		request: q, status: resp.StatusCode, header: resp.Header,
		said: platform.DecodeResponseHeaders(resp.StatusCode, resp.Header),
	}
	if err := a.check(q); err != nil {
		return nil, err
	}
	kept, err := io.ReadAll(io.LimitReader(resp.Body, keptAnswer))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	a.body = kept
	if len(kept) == keptAnswer {
		a.rest = resp.Body
	}
	return a, nil
}

func (a *answer) check(q *request) error {
	if a.said.ID != q.ID && (a.said.ID != "" || !a.said.NotRun) {
		return errors.Wrapf(errOtherRequest, "id %q", a.said.ID)
	}
	if a.said.Encoded {
		return errEncoded
	}
	if a.status >= http.StatusOK && a.status < http.StatusMultipleChoices && !a.said.Signed {
		return errUnsigned
	}
	return nil
}

func (a *answer) writeBody(w io.Writer) error {
	if _, err := w.Write(a.body); err != nil {
		return errors.Wrap(err, "write answer")
	}
	if a.rest == nil {
		return nil
	}
	if _, err := io.Copy(w, a.rest); err != nil {
		return errors.Wrap(err, "pass answer on")
	}
	return nil
}

func (a *answer) close() {
	if a.rest != nil {
		_ = a.rest.Close()
	}
}

// setLength gives an answer that was read whole its length.
func setLength(h http.Header, a *answer) {
	if a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
}
