package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"pineturn/platform"
)

// maxBufferedResponse is the size in bytes from which on a response body is
// streamed to the caller. Smaller bodies are read completely first.
const maxBufferedResponse = 256 << 10

// response is a target's response, read up to maxBufferedResponse bytes.
type response struct {
	request *request
	status  int
	header  http.Header
	info    platform.ResponseInfo
	// body is the whole body, or the first maxBufferedResponse bytes of it.
	body []byte
	// unread reads the part of a large body that follows body; nil if there is
	// none.
	unread io.ReadCloser
	// cancel releases the context of the request.
	cancel context.CancelFunc
}

// Errors of responses that may have been changed or belong to another request.
var (
	errRequestMismatch = errors.New("response belongs to another request")
	errUnsigned        = errors.New("response is not signed")
	errEncoded         = errors.New("response body is encoded")
)

// readResponse checks that resp belongs to a request and reads its body, up to
// maxBufferedResponse bytes.
func readResponse(q *request, resp *http.Response) (*response, error) {
	r := &response{
		request: q, status: resp.StatusCode, header: resp.Header,
		info: platform.DecodeResponseHeaders(resp.StatusCode, resp.Header),
	}
	if err := r.check(q); err != nil {
		return nil, err
	}
	buffered, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse))
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	r.body = buffered
	if len(buffered) == maxBufferedResponse {
		r.unread = resp.Body
	}
	return r, nil
}

// check returns an error unless the response is the target's own to a request. A
// refusal may lack the request id, and only a success must be signed.
func (r *response) check(q *request) error {
	if r.info.ID != q.ID && (r.info.ID != "" || !r.info.NotRun) {
		return errors.Wrapf(errRequestMismatch, "id %q", r.info.ID)
	}
	if r.info.Encoded {
		return errEncoded
	}
	if r.status >= http.StatusOK && r.status < http.StatusMultipleChoices && !r.info.Signed {
		return errUnsigned
	}
	return nil
}

func (r *response) writeBody(w io.Writer) error {
	if _, err := w.Write(r.body); err != nil {
		return errors.Wrap(err, "write response body")
	}
	if r.unread == nil {
		return nil
	}
	if _, err := io.Copy(w, r.unread); err != nil {
		return errors.Wrap(err, "stream response body")
	}
	return nil
}

func (r *response) close() {
	if r.unread != nil {
		_ = r.unread.Close()
	}
}

// setContentLength sets Content-Length for a response whose body was read
// completely, except for statuses that have no body.
func setContentLength(h http.Header, r *response) {
	if r.status == http.StatusNoContent || r.status == http.StatusNotModified {
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
}
