package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"pineturn/core/shard"
)

// The paths of the orders.
const (
	clockPath = "/pineturn/v1/clock"
	grantPath = "/pineturn/v1/grant"
)

// The codes with which a target refuses a grant.
const (
	StaleTerm        = "stale-term"
	WrongIncarnation = "wrong-incarnation"
	UnknownSet       = "unknown-set"

	// notOwner is a code with which a target refuses a request.
	notOwner = "not-owner"
)

// Status is the status that a target reports. InFlight and Health may be out of date.
type Status struct {
	Incarnation string `json:"incarnation"`
	// ClockUs is a reading of the target's monotonic clock, in microseconds.
	ClockUs  int64  `json:"clock_us"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"busy"`
	Health   string `json:"health"`
	// SetVersion is the version of the set of shards that the target holds.
	SetVersion uint64 `json:"set"`
}

// Grant is an order that replaces the set of shards that a target owns, or renews
// the grant of the current set.
type Grant struct {
	Incarnation string `json:"incarnation"`
	Term        uint64 `json:"term"`
	Leaseholder string `json:"holder"`
	SetVersion  uint64 `json:"set"`
	// ExpiresUs is the time of expiry on the target's clock, in microseconds.
	ExpiresUs int64        `json:"expires_us"`
	Renew     bool         `json:"renew,omitempty"`
	Shards    []GrantShard `json:"shards,omitempty"`
}

// GrantShard is one shard of a Grant. Except lists the hot keys of a range shard
// that have shards of their own.
type GrantShard struct {
	Shard  shard.ID `json:"shard"`
	Epoch  uint64   `json:"epoch"`
	Except []string `json:"except,omitempty"`
}

// RefusedError is the refusal of a grant by a target.
type RefusedError struct {
	Code   string
	Status Status
}

func (e *RefusedError) Error() string { return "grant refused: " + e.Code }

// Probe requests the status of the target at address.
func (c *Client) Probe(ctx context.Context, address string) (Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme()+"://"+address+clockPath, nil)
	if err != nil {
		return Status{}, fmt.Errorf("request status of target %s: %w", address, err)
	}
	response, err := c.sendOrder(address, request)
	if err != nil {
		return Status{}, fmt.Errorf("request status of target %s: %w", address, err)
	}
	return response.Status, nil
}

// Grant sends a grant to the target at address. The error is a *RefusedError if the
// target refused the grant. After any other error the grant may have taken effect.
func (c *Client) Grant(ctx context.Context, address string, grant Grant) (Status, error) {
	body, err := json.Marshal(grant)
	if err != nil {
		return Status{}, fmt.Errorf("encode grant: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.scheme()+"://"+address+grantPath, bytes.NewReader(body))
	if err != nil {
		return Status{}, fmt.Errorf("send grant to target %s: %w", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.sendOrder(address, request)
	if err != nil {
		return Status{}, fmt.Errorf("send grant to target %s: %w", address, err)
	}
	if response.Code != "" {
		return response.Status, fmt.Errorf("send grant to target %s: %w", address, &RefusedError{Code: response.Code, Status: response.Status})
	}
	return response.Status, nil
}

// orderResponse is the body of a response to an order.
type orderResponse struct {
	Status
	// Code is the code of a refusal, empty if the target accepted the order.
	Code string `json:"error"`
}

// sendOrder sends an order to the target at address and decodes the response.
func (c *Client) sendOrder(address string, request *http.Request) (orderResponse, error) {
	if err := c.authorize(request); err != nil {
		return orderResponse{}, err
	}
	response, err := c.orderTransport(address).RoundTrip(request)
	if err != nil {
		return orderResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return orderResponse{}, fmt.Errorf("read response: %w", err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return orderResponse{}, fmt.Errorf("unexpected status %d", response.StatusCode)
	}
	var decoded orderResponse
	if err := json.Unmarshal(body, &decoded); err != nil {
		return orderResponse{}, fmt.Errorf("decode response: %w", err)
	}
	if response.StatusCode == http.StatusConflict && decoded.Code == "" {
		return orderResponse{}, fmt.Errorf("status %d without a refusal code", response.StatusCode)
	}
	return decoded, nil
}
