// Package targetclient gives orders and requests to a target directly, as its
// leaseholder would, right or wrong ones.
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

// ReadStatus reads the target's status.
func ReadStatus(ctx context.Context, address string) (target.Status, error) {
	var status target.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/pineturn/v1/clock", nil)
	if err != nil {
		return status, fmt.Errorf("build probe: %w", err)
	}
	answer, err := send(request)
	if err == nil {
		err = json.Unmarshal(answer.Body, &status)
	}
	if err != nil {
		return status, fmt.Errorf("read clock: %w", err)
	}
	return status, nil
}

// Grant is an order to own shards until Life after the reading Status of the
// target's clock.
type Grant struct {
	Status   target.Status
	Term     uint64
	Holder   string
	Set      uint64
	Lifetime time.Duration
	Renew    bool
	Shards   []audit.Shard
}

// Request is a request sent to a target directly. A Deadline over 0 is stated
// from the reading Status of the target's clock on.
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

// Response is what the target answered.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// SendGrant sends a grant to the target at address.
func SendGrant(ctx context.Context, address string, grant Grant) (Response, error) {
	body, err := json.Marshal(target.Order{
		Incarnation: grant.Status.Incarnation,
		Term:        grant.Term,
		Holder:      grant.Holder,
		Set:         grant.Set,
		ExpiresUs:   grant.Status.ClockUs + grant.Lifetime.Microseconds(),
		Renew:       grant.Renew,
		Shards:      grant.Shards,
	})
	if err != nil {
		return Response{}, fmt.Errorf("encode grant: %w", err)
	}
	url := "http://" + address + "/pineturn/v1/grant"
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, fmt.Errorf("build grant: %w", err)
	}
	return send(request)
}

// SendRequest sends a request to the target at address.
func SendRequest(ctx context.Context, address string, asked Request) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+asked.Path, nil)
	if err != nil {
		return Response{}, fmt.Errorf("build request: %w", err)
	}
	header := request.Header
	header.Set("Pineturn-Request-Id", asked.ID)
	header.Set("Pineturn-Key", asked.Key)
	header.Set("Pineturn-Shard", asked.Shard)
	header.Set("Pineturn-Epoch", strconv.FormatUint(asked.Epoch, 10))
	header.Set("Pineturn-Term", strconv.FormatUint(asked.Term, 10))
	header.Set("Pineturn-Incarnation", asked.Status.Incarnation)
	if asked.Deadline > 0 {
		deadline := asked.Status.ClockUs + asked.Deadline.Microseconds()
		header.Set("Pineturn-Deadline", strconv.FormatInt(deadline, 10))
	}
	if asked.EndWithGrant {
		header.Set("Pineturn-End-With-Grant", "1")
	}
	return send(request)
}

func send(request *http.Request) (Response, error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{}, fmt.Errorf("send to target: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read answer: %w", err)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// ParseShard reads a shard of a grant, service/group/index[/key]@epoch, with
// the keys excepted from it after exclamation marks.
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
