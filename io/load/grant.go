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

// targetStatus is the status that a target returns to a status or grant request.
// ClockUs is the reading of the target's clock in microseconds. SetVersion
// is the version of the set of shards in the target's current grant.
type targetStatus struct {
	Incarnation string `json:"incarnation"`
	ClockUs     int64  `json:"clock_us"`
	Slots       int    `json:"slots"`
	SetVersion  uint64 `json:"set"`
	Error       string `json:"error,omitempty"`
}

// grantRequest is the body of a grant request. ExpiresUs is a reading of the
// target's clock in microseconds.
type grantRequest struct {
	Incarnation string       `json:"incarnation"`
	Term        uint64       `json:"term"`
	Leaseholder string       `json:"holder"`
	SetVersion  uint64       `json:"set"`
	ExpiresUs   int64        `json:"expires_us"`
	Shards      []grantShard `json:"shards"`
}

// grantShard is a shard of a grant.
type grantShard struct {
	Shard shard.ID `json:"shard"`
	Epoch uint64   `json:"epoch"`
}

func readStatus(ctx context.Context, client *http.Client, address string) (targetStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+clockPath, http.NoBody)
	if err != nil {
		return targetStatus{}, errors.Wrap(err, "create status request")
	}
	return requestStatus(client, request)
}

func putGrant(ctx context.Context, client *http.Client, address string, grant grantRequest) (targetStatus, error) {
	body, err := json.Marshal(grant)
	if err != nil {
		return targetStatus{}, errors.Wrap(err, "encode grant")
	}
	url := "http://" + address + grantPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return targetStatus{}, errors.Wrap(err, "create grant request")
	}
	return requestStatus(client, request)
}

func requestStatus(client *http.Client, request *http.Request) (targetStatus, error) {
	response, err := client.Do(request)
	if err != nil {
		return targetStatus{}, errors.Wrap(err, "send request to target")
	}
	defer func() { _ = response.Body.Close() }()
	var status targetStatus
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return targetStatus{}, errors.Wrap(err, "read status of target")
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return targetStatus{}, errors.Wrapf(err, "decode status of target, HTTP %d", response.StatusCode)
	}
	if response.StatusCode != http.StatusOK {
		return targetStatus{}, errors.Newf("target refused the request: HTTP %d %s", response.StatusCode, status.Error)
	}
	return status, nil
}
