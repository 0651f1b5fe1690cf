// Package http1 sends HTTP/1.1 requests to programs that may respond with bytes that are no response. Package net/http
// accepts some of them, for example a name with a blank: such a line is no header field that anybody else knows, a
// length that it states does not count, and the body is another one then.
package http1

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// lastStatus is the last status of the classes that HTTP defines.
	lastStatus = 599
	// maxInterimBytes limits the size of all interim responses to one request. A status line counts as
	// statusLineBytes, the end of a line and the colon of a field as fieldBytes.
	maxInterimBytes = 64 << 10
	statusLineBytes = 24
	fieldBytes      = 4
)

// Errors of responses that are not valid.
var (
	ErrStatus  = errors.New("response has no valid status")
	ErrName    = errors.New("response has a field name with a blank")
	ErrInterim = errors.New("too many interim responses")
)

// Transport sends requests, and returns valid responses only.
type Transport struct{ *http.Transport }

// RoundTrip sends a request. If the response is not valid, it closes the connection and returns an error, in which one of
// this package's is wrapped. Reads of the body return such an error at its end if its trailer is not valid.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	interim := 0
	// The limit of the transport on headers does not count interim responses that are traced.
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		if interim += size(header); interim > maxInterimBytes {
			return ErrInterim
		}
		return checkNames(http.Header(header))
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		_ = resp.Body.Close()
		// Without a body, the connection counts as idle already.
		t.CloseIdleConnections()
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailedBody{ReadCloser: resp.Body, response: resp}
	}
	return resp, nil
}

// size returns the size in bytes of the head of an interim response.
func size(header textproto.MIMEHeader) int {
	n := statusLineBytes
	for name, values := range header {
		for _, value := range values {
			n += len(name) + len(value) + fieldBytes
		}
	}
	return n
}

// check returns an error unless the head of a response is valid. A switch of protocols is not, as no request asks
// for one.
func check(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > lastStatus {
		return fmt.Errorf("status %q: %w", resp.Status, ErrStatus)
	}
	return checkNames(resp.Header)
}

// checkNames returns an error if the name of a field has a blank. Package net/http refuses the other bytes that names
// don't have.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return fmt.Errorf("field %q: %w", name, ErrName)
		}
	}
	return nil
}

// trailedBody is a body that a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read returns an error in place of io.EOF if the trailer is not valid.
func (b *trailedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		if invalid := checkNames(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
