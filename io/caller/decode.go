package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
	"unicode/utf8"

	"pineturn/core/header"
	"pineturn/core/message"
	"pineturn/core/outcome"
)

// decoder reads callers' requests.
type decoder struct {
	maxBody func(service string) (int64, bool)
}

func (d decoder) decode(_ context.Context, r *http.Request) (any, error) {
	id, bad := requestID(r.Header)
	if bad != nil {
		return nil, failure{cause: bad}
	}
	call, bad := readHead(r)
	if bad != nil {
		return nil, failure{cause: bad, id: id}
	}
	call.Message.ID = id
	if call.Message.Body, bad = d.body(r, call.Service); bad != nil {
		return nil, failure{cause: bad, id: id}
	}
	return call, nil
}

// readHead reads all but id and body.
func readHead(r *http.Request) (*Request, *outcome.Error) {
	service, key, path, bad := address(r)
	if bad != nil {
		return nil, bad
	}
	timeout, bad := timeLimit(r.Header)
	if bad != nil {
		return nil, bad
	}
	fields := header.EndToEnd(r.Header)
	for name, values := range fields {
		for _, value := range values {
			if !utf8.ValidString(value) {
				return nil, badRequest("header " + name + " is not UTF-8")
			}
		}
	}
	return &Request{
		Service: service,
		Key:     key,
		Message: &message.Request{Key: key, Method: r.Method, Path: path, Header: fields, Left: timeout},
	}, nil
}

// address reads service, key and the path to pass on: from the headers, or
// else from a path of the form /s/SERVICE/k/KEY/REST.
func address(r *http.Request) (service, key, path string, bad *outcome.Error) {
	path = r.URL.RequestURI()
	if !strings.HasPrefix(path, "/") || !utf8.ValidString(path) {
		return "", "", "", badRequest("the path is not valid")
	}
	service, key = r.Header.Get(header.Service), r.Header.Get(header.Key)
	if service == "" && key == "" {
		service, key, path = splitPath(path)
	}
	switch {
	case service == "":
		return "", "", "", badRequest("no service: set " + header.Service + " or use /s/SERVICE/k/KEY/")
	case key == "":
		return "", "", "", outcome.Refuse(outcome.MissingKey, "no key: set "+header.Key+" or use /s/SERVICE/k/KEY/", 0)
	case !printable(service, maxKey):
		return "", "", "", badRequest("the service's name is not valid")
	case !printable(key, maxKey):
		return "", "", "", badRequest("the key is too long or not printable")
	}
	return service, key, path, nil
}

// splitPath takes /s/SERVICE/k/KEY/REST apart. Service and key are unescaped,
// the rest is kept as it is. What does not have this form has no service.
func splitPath(path string) (service, key, rest string) {
	after, ok := strings.CutPrefix(path, "/s/")
	if !ok {
		return "", "", path
	}
	query := ""
	if i := strings.IndexByte(after, '?'); i >= 0 {
		after, query = after[:i], after[i:]
	}
	first, after, _ := strings.Cut(after, "/")
	service, err := url.PathUnescape(first)
	if err != nil {
		return "", "", path
	}
	after, ok = strings.CutPrefix(after, "k/")
	if !ok {
		return service, "", path
	}
	second, after, _ := strings.Cut(after, "/")
	key, err = url.PathUnescape(second)
	if err != nil {
		return service, "", path
	}
	return service, key, "/" + after + query
}

// printable reports whether text may stand in a header and between hosts.
func printable(text string, most int) bool {
	if len(text) > most || !utf8.ValidString(text) || strings.TrimSpace(text) != text {
		return false
	}
	for _, letter := range text {
		if letter < ' ' || letter == 0x7f {
			return false
		}
	}
	return true
}

// requestID returns the caller's id, or makes one up.
func requestID(fields http.Header) (string, *outcome.Error) {
	id := fields.Get(header.RequestID)
	if id == "" {
		return newID(), nil
	}
	if !printable(id, maxID) {
		return "", badRequest("the request id is too long or not printable")
	}
	return id, nil
}

func newID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func timeLimit(fields http.Header) (time.Duration, *outcome.Error) {
	text := fields.Get(header.Timeout)
	if text == "" {
		return 0, nil
	}
	limit, err := time.ParseDuration(text)
	if err != nil || limit <= 0 {
		return 0, badRequest(header.Timeout + " is not a positive duration such as 250ms")
	}
	return limit, nil
}

func (d decoder) body(r *http.Request, service string) ([]byte, *outcome.Error) {
	most, ok := d.maxBody(service)
	if !ok {
		return nil, outcome.Refuse(outcome.UnknownService, "no service of this name", 0)
	}
	if most <= 0 {
		most = DefaultMaxBody
	}
	if r.ContentLength > most {
		return nil, outcome.Refuse(outcome.TooLarge, "the body exceeds the service's limit", 0)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := readBody(r, most)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.Refuse(outcome.TooLarge, "the body exceeds the service's limit", 0)
	}
	if err != nil {
		return nil, badRequest("the body could not be read")
	}
	return body, nil
}

func readBody(r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(http.MaxBytesReader(nil, r.Body, most))
}

func badRequest(detail string) *outcome.Error {
	return outcome.Refuse(outcome.BadRequest, detail, 0)
}
