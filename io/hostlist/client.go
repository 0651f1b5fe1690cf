// Package hostlist reads the platform's list of hosts over HTTP. The list
// lags, so it is a hint of where hosts are and which are leaving, no proof.
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
	// maxAnswer is the largest answer that is read, in bytes.
	maxAnswer = 16 << 20
)

// Host is one entry of the list.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// Leaving reports that the platform is about to take the host away.
func (h Host) Leaving() bool { return h.State == "leaving" }

// Client reads the list. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the service at address, a host:port.
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext}
	return &Client{url: "http://" + address + "/v1/hosts", http: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hosts returns the list as the platform has it.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "host list request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call host list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("host list answered %s", resp.Status)
	}
	var answer struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&answer); err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	return answer.Hosts, nil
}
