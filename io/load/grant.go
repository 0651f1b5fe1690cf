package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"pineturn/core/shard"
)

// Paths of the target protocol.
const (
	clockPath = "/pineturn/v1/clock"
	grantPath = "/pineturn/v1/grant"
)

// targetStatus is what a target says of itself.
type targetStatus struct {
	Incarnation string `json:"incarnation"`
	ClockUs     int64  `json:"clock_us"`
	Slots       int    `json:"slots"`
	Set         uint64 `json:"set"`
	Error       string `json:"error,omitempty"`
}

// grantOrder is the body of a grant.
type grantOrder struct {
	Incarnation string       `json:"incarnation"`
	Term        uint64       `json:"term"`
	Holder      string       `json:"holder"`
	Set         uint64       `json:"set"`
	ExpiresUs   int64        `json:"expires_us"`
	Shards      []grantShard `json:"shards"`
}

// grantShard is one granted shard.
type grantShard struct {
	Shard shard.ID `json:"shard"`
	Epoch uint64   `json:"epoch"`
}

func readClock(ctx context.Context, client *http.Client, address string) (targetStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+clockPath, http.NoBody)
	if err != nil {
		return targetStatus{}, errors.Wrap(err, "read clock")
	}
	return askStatus(client, request)
}

func putGrant(ctx context.Context, client *http.Client, address string, order grantOrder) (targetStatus, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return targetStatus{}, errors.Wrap(err, "encode grant")
	}
	url := "http://" + address + grantPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return targetStatus{}, errors.Wrap(err, "put grant")
	}
	return askStatus(client, request)
}

func askStatus(client *http.Client, request *http.Request) (targetStatus, error) {
	answer, err := client.Do(request)
	if err != nil {
		return targetStatus{}, errors.Wrap(err, "ask target")
	}
	defer func() { _ = answer.Body.Close() }()
	var status targetStatus
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return targetStatus{}, errors.Wrap(err, "read status")
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return targetStatus{}, errors.Wrapf(err, "decode status, HTTP %d", answer.StatusCode)
	}
	if answer.StatusCode != http.StatusOK {
		return targetStatus{}, errors.Newf("target refused: HTTP %d %s", answer.StatusCode, status.Error)
	}
	return status, nil
}
