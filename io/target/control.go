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

// The paths of the control calls.
const (
	clockPath = "/pineturn/v1/clock"
	grantPath = "/pineturn/v1/grant"
)

// The codes of a refused grant, as the target states them.
const (
	StaleTerm        = "stale-term"
	WrongIncarnation = "wrong-incarnation"
	Expired          = "expired"
	UnknownSet       = "unknown-set"

	// notOwner is the code of a refused request.
	notOwner = "not-owner"
)

// Status is what a target says of itself. Load and health may lag.
type Status struct {
	Incarnation string `json:"incarnation"`
	// ClockUs is the target's monotonic clock, in microseconds.
	ClockUs int64  `json:"clock_us"`
	Slots   int    `json:"slots"`
	Busy    int    `json:"busy"`
	Health  string `json:"health"`
	// Set is the version of the held set of shards.
	Set uint64 `json:"set"`
}

// Grant replaces the set of shards that a target owns, or renews it.
type Grant struct {
	Incarnation string `json:"incarnation"`
	Term        uint64 `json:"term"`
	Holder      string `json:"holder"`
	Set         uint64 `json:"set"`
	// ExpiresUs is in the target's clock, in microseconds.
	ExpiresUs int64        `json:"expires_us"`
	Renew     bool         `json:"renew,omitempty"`
	Shards    []GrantShard `json:"shards,omitempty"`
}

// GrantShard is one shard of a Grant. Except lists hot keys of a range shard
// that are shards of their own.
type GrantShard struct {
	Shard  shard.ID `json:"shard"`
	Epoch  uint64   `json:"epoch"`
	Except []string `json:"except,omitempty"`
}

// RefusedError is a target's refusal of a grant.
type RefusedError struct {
	Code   string
	Status Status
}

// Error returns the refusal's code.
func (r *RefusedError) Error() string { return "grant refused: " + r.Code }

// Probe asks a target for its status.
func (c *Client) Probe(ctx context.Context, address string) (Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme()+"://"+address+clockPath, nil)
	if err != nil {
		return Status{}, fmt.Errorf("ask %s for its clock: %w", address, err)
	}
	answer, err := c.order(address, request)
	if err != nil {
		return Status{}, fmt.Errorf("ask %s for its clock: %w", address, err)
	}
	return answer.Status, nil
}

// Grant sends an order. The error is a *Refused when the target answered no;
// with any other error the order may have taken effect.
func (c *Client) Grant(ctx context.Context, address string, grant Grant) (Status, error) {
	body, err := json.Marshal(grant)
	if err != nil {
		return Status{}, fmt.Errorf("encode grant: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.scheme()+"://"+address+grantPath, bytes.NewReader(body))
	if err != nil {
		return Status{}, fmt.Errorf("send grant to %s: %w", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.order(address, request)
	if err != nil {
		return Status{}, fmt.Errorf("send grant to %s: %w", address, err)
	}
	if answer.Code != "" {
		return answer.Status, fmt.Errorf("send grant to %s: %w", address, &RefusedError{Code: answer.Code, Status: answer.Status})
	}
	return answer.Status, nil
}

// orderAnswer is the body that answers a control call.
type orderAnswer struct {
	Status
	Code string `json:"error"`
}

func (c *Client) order(address string, request *http.Request) (orderAnswer, error) {
	if err := c.authorize(request); err != nil {
		return orderAnswer{}, err
	}
	response, err := c.control(address).RoundTrip(request)
	if err != nil {
		return orderAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatus))
	if err != nil {
		return orderAnswer{}, fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return orderAnswer{}, fmt.Errorf("status %d", response.StatusCode)
	}
	var answer orderAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return orderAnswer{}, fmt.Errorf("decode answer: %w", err)
	}
	if response.StatusCode == http.StatusConflict && answer.Code == "" {
		return orderAnswer{}, fmt.Errorf("status %d without a code", response.StatusCode)
	}
	return answer, nil
}
