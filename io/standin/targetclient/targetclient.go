// Package targetclient sends orders and requests to a target directly, in place
// of its leaseholder. Their content may be invalid.
package targetclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pineturn/core/audit"
	"pineturn/core/shard"
	"pineturn/io/standin/target"
)

// ReadStatus returns the status of the target at address.
func ReadStatus(ctx context.Context, address string) (target.Status, error) {
	var status target.Status
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/pineturn/v1/clock", nil)
	if err != nil {
		return status, fmt.Errorf("build status request: %w", err)
	}
	response, err := send(httpRequest)
	if err == nil {
		err = json.Unmarshal(response.Body, &status)
	}
	if err != nil {
		return status, fmt.Errorf("read target status: %w", err)
	}
	return status, nil
}

// Grant is an order that grants or renews ownership of shards. It expires Duration
// after the clock in Status, which is a status that the target has sent before.
type Grant struct {
	Status      target.Status
	Term        uint64
	Leaseholder string
	SetVersion  uint64
	Duration    time.Duration
	Renew       bool
	Shards      []audit.Shard
}

// Request is a request to a target. A positive Deadline is relative to the clock
// in Status.
type Request struct {
	Status       target.Status
	ID           string
	Key          string
	Shard        string
	Epoch        uint64
	Term         uint64
	Path         string
	Deadline     time.Duration
	EndWithGrant bool
}

// Response is the target's response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// SendGrant sends an order to the target at address.
func SendGrant(ctx context.Context, address string, grant Grant) (Response, error) {
	body, err := json.Marshal(target.Order{
		Incarnation: grant.Status.Incarnation,
		Term:        grant.Term,
		Leaseholder: grant.Leaseholder,
		SetVersion:  grant.SetVersion,
		ExpiresUs:   grant.Status.ClockUs + grant.Duration.Microseconds(),
		Renew:       grant.Renew,
		Shards:      grant.Shards,
	})
	if err != nil {
		return Response{}, fmt.Errorf("encode grant: %w", err)
	}
	url := "http://" + address + "/pineturn/v1/grant"
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, fmt.Errorf("build grant: %w", err)
	}
	return send(httpRequest)
}

// SendRequest sends a request to the target at address.
func SendRequest(ctx context.Context, address string, request Request) (Response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+request.Path, nil)
	if err != nil {
		return Response{}, fmt.Errorf("build request: %w", err)
	}
	header := httpRequest.Header
	header.Set("Pineturn-Request-Id", request.ID)
	header.Set("Pineturn-Key", request.Key)
	header.Set("Pineturn-Shard", request.Shard)
	header.Set("Pineturn-Epoch", strconv.FormatUint(request.Epoch, 10))
	header.Set("Pineturn-Term", strconv.FormatUint(request.Term, 10))
	header.Set("Pineturn-Incarnation", request.Status.Incarnation)
	if request.Deadline > 0 {
		deadline := request.Status.ClockUs + request.Deadline.Microseconds()
		header.Set("Pineturn-Deadline", strconv.FormatInt(deadline, 10))
	}
	if request.EndWithGrant {
		header.Set("Pineturn-End-With-Grant", "1")
	}
	return send(httpRequest)
}

func send(httpRequest *http.Request) (Response, error) {
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return Response{}, fmt.Errorf("send to target: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read response: %w", err)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// ParseShard parses a shard of a grant in the form
// service/group/index[/key]@epoch[!key...]. The keys after exclamation marks are
// excepted from the shard.
func ParseShard(text string) (audit.Shard, error) {
	name, rest, ok := strings.Cut(text, "@")
	if !ok {
		return audit.Shard{}, fmt.Errorf("shard %q: want service/group/index[/key]@epoch[!key...]", text)
	}
	parts := strings.Split(rest, "!")
	epoch, err := strconv.ParseUint(parts[0], 10, 64)
	if err != nil {
		return audit.Shard{}, fmt.Errorf("shard %q: parse epoch: %w", text, err)
	}
	id, err := shard.Parse(name)
	if err != nil {
		return audit.Shard{}, err
	}
	return audit.Shard{Shard: id, Epoch: epoch, Except: parts[1:]}, nil
}
