// Package logservice speaks to the platform's append-only log over HTTP.
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
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 500 * time.Millisecond
	// idleConnections is how many connections are kept to the service.
	idleConnections = 4
	// maxAnswer is the largest answer that is read, in bytes.
	maxAnswer = 64 << 20
)

// ErrUnavailable means that the service answered that it is down.
var ErrUnavailable = errors.New("log service is unavailable")

// Trimmed means that the records asked for are no longer kept.
type Trimmed struct {
	Earliest uint64
	Next     uint64
}

// Error names the first record that is kept.
func (t *Trimmed) Error() string {
	return fmt.Sprintf("records before %d are no longer kept", t.Earliest)
}

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read: consecutive records, and the bounds of the
// stream at that moment.
type Page struct {
	Earliest uint64   `json:"earliest"`
	Next     uint64   `json:"next"`
	Records  []Record `json:"records"`
}

// Client reads and appends. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the service at address, a host:port.
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections}
	return &Client{base: "http://" + address + "/v1/streams/", http: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Reset drops idle connections, so that the next call uses a fresh one.
func (c *Client) Reset() { c.http.CloseIdleConnections() }

func (c *Client) url(stream string) string { return c.base + url.PathEscape(stream) + "/records" }

// Append adds a record and returns its offset. After any error the record
// may have been added nevertheless.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "append request")
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	if err := c.do(req, &answer); err != nil {
		return 0, errors.Wrap(err, "append")
	}
	return answer.Offset, nil
}

// Read returns at most limit records from an offset on, and waits for up to
// wait when there is none yet. It fails with *Trimmed when the offset is no
// longer kept.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "read request")
	}
	var page Page
	if err := c.do(req, &page); err != nil {
		return Page{}, errors.Wrap(err, "read")
	}
	return page, nil
}

func (c *Client) do(req *http.Request, into any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call log service")
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, maxAnswer)
	switch resp.StatusCode {
	case http.StatusOK:
		return errors.Wrap(json.NewDecoder(body).Decode(into), "decode answer")
	case http.StatusGone:
		var page Page
		if err := json.NewDecoder(body).Decode(&page); err != nil {
			return errors.Wrap(err, "decode answer")
		}
		return &Trimmed{Earliest: page.Earliest, Next: page.Next}
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	return errors.Newf("log service answered %s", resp.Status)
}
