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

// decoder decodes HTTP requests of callers.
type decoder struct {
	// maxBody is Backend.MaxBody.
	maxBody func(service string) (int64, bool)
}

func (d decoder) decode(_ context.Context, r *http.Request) (any, error) {
	id, refusal := requestID(r.Header)
	if refusal != nil {
		return nil, requestError{cause: refusal}
	}
	request, refusal := readHead(r)
	if refusal != nil {
		return nil, requestError{cause: refusal, id: id}
	}
	request.Message.ID = id
	if request.Message.Body, refusal = d.body(r, request.Service); refusal != nil {
		return nil, requestError{cause: refusal, id: id}
	}
	return request, nil
}

// readHead decodes a request except for its id and body.
func readHead(r *http.Request) (*Request, *outcome.Error) {
	service, key, path, refusal := address(r)
	if refusal != nil {
		return nil, refusal
	}
	timeout, refusal := timeLimit(r.Header)
	if refusal != nil {
		return nil, refusal
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

// address returns the service, the key and the path to forward. Service and key are
// taken from the headers or, if neither header is set, from a path of the form
// /s/SERVICE/k/KEY/REST.
func address(r *http.Request) (service, key, path string, refusal *outcome.Error) {
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

// splitPath splits a path of the form /s/SERVICE/k/KEY/REST. It unescapes service
// and key and returns the rest, with the query, as it is. For a path of
// another form, service or key is empty and rest is the whole path.
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

// printable reports whether text is valid in headers and in messages between hosts:
// at most maxBytes long, UTF-8, without control characters and without leading or
// trailing space.
func printable(text string, maxBytes int) bool {
	if len(text) > maxBytes || !utf8.ValidString(text) || strings.TrimSpace(text) != text {
		return false
	}
	for _, char := range text {
		if char < ' ' || char == 0x7f {
			return false
		}
	}
	return true
}

// requestID returns the request id from the header, or a new random id if the
// header has none.
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

// timeLimit returns the timeout from the header, zero if the header has none.
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

// body reads the request's body within the limit of the service.
func (d decoder) body(r *http.Request, service string) ([]byte, *outcome.Error) {
	maxBytes, ok := d.maxBody(service)
	if !ok {
		return nil, outcome.Refuse(outcome.UnknownService, "no service of this name", 0)
	}
	if maxBytes <= 0 {
		maxBytes = DefaultMaxBody
	}
	if r.ContentLength > maxBytes {
		return nil, outcome.Refuse(outcome.TooLarge, "the body exceeds the service's limit", 0)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := readBody(r, maxBytes)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.Refuse(outcome.TooLarge, "the body exceeds the service's limit", 0)
	}
	if err != nil {
		return nil, badRequest("the body could not be read")
	}
	return body, nil
}

func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBytes))
}

func badRequest(detail string) *outcome.Error {
	return outcome.Refuse(outcome.BadRequest, detail, 0)
}
