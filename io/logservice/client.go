// Package logservice is an HTTP client of the platform's append-only log.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the client.
const (
	// dialTimeout limits the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnections is the maximum number of idle connections to the service
	// that are kept open.
	maxIdleConnections = 4
	// maxResponseBytes is the maximum number of bytes read of a response.
	maxResponseBytes = 64 << 20
)

// ErrUnavailable means that the service responded that it is unavailable.
var ErrUnavailable = errors.New("log service is unavailable")

// TrimmedError means that records at the requested offset are no longer stored.
// Earliest is the first stored offset and Next the offset of the next record to
// be appended.
type TrimmedError struct {
	Earliest uint64
	Next     uint64
}

// Error returns a message with the first stored offset.
func (t *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer stored", t.Earliest)
}

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the response to a read: consecutive records, and the bounds of the
// stream at the time of the read. Earliest is the first stored offset and Next
// the offset of the next record to be appended.
type Page struct {
	Earliest uint64   `json:"earliest"`
	Next     uint64   `json:"next"`
	Records  []Record `json:"records"`
}

// Client reads from and appends to streams. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the service at address (host:port).
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections}
	return &Client{base: "http://" + address + "/v1/streams/", http: &http.Client{Transport: transport}}
}

// CloseIdleConnections closes the connections without a call, so that the next call
// opens a new one.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

func (c *Client) url(stream string) string { return c.base + url.PathEscape(stream) + "/records" }

// Append appends a record and returns its offset. If it returns an error, the
// record may have been appended nevertheless.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "create append request")
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	var response struct {
		Offset uint64 `json:"offset"`
	}
	if err := c.do(req, &response); err != nil {
		return 0, errors.Wrap(err, "append")
	}
	return response.Offset, nil
}

// Read returns at most limit records starting at offset from. If there are none
// yet, it waits for up to wait. The error is *TrimmedError if the offset is no
// longer stored.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "create read request")
	}
	var page Page
	if err := c.do(req, &page); err != nil {
		return Page{}, errors.Wrap(err, "read")
	}
	return page, nil
}

func (c *Client) do(req *http.Request, result any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call log service")
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, maxResponseBytes)
	switch resp.StatusCode {
	case http.StatusOK:
		return errors.Wrap(json.NewDecoder(body).Decode(result), "decode response")
	case http.StatusGone:
		var page Page
		if err := json.NewDecoder(body).Decode(&page); err != nil {
			return errors.Wrap(err, "decode response")
		}
		return &TrimmedError{Earliest: page.Earliest, Next: page.Next}
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	return errors.Newf("log service responded with status %s", resp.Status)
}
