// Package hostlist is an HTTP client of the platform's host list. The list lags
// behind the actual state, so the addresses and the states of hosts in it are
// hints and may be wrong.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the client.
const (
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes is the maximum number of bytes read of a response.
	maxResponseBytes = 16 << 20
)

// Host is one entry of the list.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// Leaving reports whether the platform is about to remove the host.
func (h Host) Leaving() bool { return h.State == "leaving" }

// Client reads the list. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the service at address (host:port).
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext}
	return &Client{url: "http://" + address + "/v1/hosts", http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hosts returns the current list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create host list request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call host list service")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("host list service responded with status %s", resp.Status)
	}
	var response struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&response); err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	return response.Hosts, nil
}
