package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"pineturn/core/config"
	"pineturn/core/record"
)

// maxCommand is the largest body of a command, in bytes. A batch of
// record.MaxSize fits, in base64.
const maxCommand = 1 << 20

// maxChange is the most content of files in one change, in bytes; it leaves
// room in record.MaxSize for what else a batch holds.
const maxChange = 384 << 10

// Result is what became of one operation that was read back from the log.
type Result struct {
	Accepted bool
	// Reason says why the operation was not accepted.
	Reason string
	// Conflict reports that another change came first: the operation
	// expected another version than File's Current one.
	Conflict bool
	File     string
	Current  uint64
	Faults   []config.Fault
}

// Commands are the changes that operators may order. Its fields are filled
// by the daemon.
type Commands struct {
	// Submit appends operations as one batch and reads it back. It returns a
	// verdict for each and the version that the batch made. The error wraps
	// ErrUnknownFate when the batch may still come into effect, and
	// ErrUnavailable when it certainly does not.
	Submit func(ctx context.Context, ops []record.Op) ([]Result, uint64, error)
	// Reset makes this host the only member. Errors are those of Submit.
	Reset func(ctx context.Context) (Result, uint64, error)
}

// ChangeFiles orders changes of files, all or none.
type ChangeFiles struct {
	Author  string              `json:"author"`
	Changes []record.FileChange `json:"changes"`
}

// DrainTarget orders a target to be taken out of use, or back.
type DrainTarget struct {
	Target record.Target `json:"target"`
	On     bool          `json:"on"`
}

// ResetMembers orders the membership to start anew. Confirm must be set: the
// operator vouches that the former members run no more.
type ResetMembers struct {
	Confirm bool `json:"confirm"`
}

// CommandResponse answers a command that took effect.
type CommandResponse struct {
	// Version is that of the files that were changed, as other changes
	// expect it.
	Version uint64 `json:"version"`
}

func (c Commands) register(mux *http.ServeMux) {
	mux.Handle("POST "+pathFiles, command(c.changeFiles))
	mux.Handle("POST "+pathDrain, command(c.drainTarget))
	mux.Handle("POST "+pathReset, command(c.resetMembers))
}

// command serves one kind of order.
func command[T any](run func(context.Context, T) (CommandResponse, error)) http.Handler {
	var serve endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return run(ctx, request.(T))
	}
	return kithttp.NewServer(serve, decodeCommand[T], kithttp.EncodeJSONResponse, serverOptions()...)
}

func decodeCommand[T any](_ context.Context, r *http.Request) (any, error) {
	var order T
	body := http.MaxBytesReader(nil, r.Body, maxCommand)
	decode := json.NewDecoder(body)
	decode.DisallowUnknownFields()
	if err := decode.Decode(&order); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, badRequest("more than %d bytes; change fewer files at once", maxCommand)
		}
		return nil, badRequest("not the JSON of this order: %v", err)
	}
	if _, err := decode.Token(); err != io.EOF {
		return nil, badRequest("more than one order")
	}
	return order, nil
}

func badRequest(format string, args ...any) *Error {
	return &Error{Code: CodeBadRequest, Detail: fmt.Sprintf(format, args...)}
}

func (c Commands) changeFiles(ctx context.Context, order ChangeFiles) (CommandResponse, error) {
	if len(order.Changes) == 0 {
		return CommandResponse{}, badRequest("no changes")
	}
	size := 0
	for _, change := range order.Changes {
		size += len(change.Content)
		if text := config.CheckFileName(change.Name); text != "" && !change.Remove {
			fault := config.Fault{File: change.Name, Text: text}
			return CommandResponse{}, &Error{Code: CodeRefused, Detail: "nothing was changed", Faults: []config.Fault{fault}}
		}
	}
	if size > maxChange {
		detail := fmt.Sprintf("%d bytes of files, at most %d in one change; change fewer files at once", size, maxChange)
		return CommandResponse{}, &Error{Code: CodeRefused, Detail: detail}
	}
	return c.submit(ctx, record.Op{Files: &record.Files{Author: order.Author, Changes: order.Changes}})
}

func (c Commands) drainTarget(ctx context.Context, order DrainTarget) (CommandResponse, error) {
	return c.submit(ctx, record.Op{Drain: &record.Drain{Target: order.Target, On: order.On}})
}

func (c Commands) resetMembers(ctx context.Context, order ResetMembers) (CommandResponse, error) {
	if !order.Confirm {
		return CommandResponse{}, badRequest("not confirmed: stop every former member first")
	}
	if c.Reset == nil {
		return CommandResponse{}, ErrUnavailable
	}
	verdict, version, err := c.Reset(ctx)
	if err != nil {
		return CommandResponse{}, err
	}
	return answer(verdict, version)
}

// submit orders one operation.
func (c Commands) submit(ctx context.Context, op record.Op) (CommandResponse, error) {
	if c.Submit == nil {
		return CommandResponse{}, ErrUnavailable
	}
	verdicts, version, err := c.Submit(ctx, []record.Op{op})
	if err != nil {
		return CommandResponse{}, err
	}
	if len(verdicts) != 1 {
		return CommandResponse{}, errors.Wrapf(ErrUnknownOutcome, "%d verdicts for one operation", len(verdicts))
	}
	return answer(verdicts[0], version)
}

func answer(verdict Result, version uint64) (CommandResponse, error) {
	if verdict.Accepted {
		return CommandResponse{Version: version}, nil
	}
	code := CodeRefused
	if verdict.Conflict {
		code = CodeConflict
	}
	return CommandResponse{}, &Error{
		Code: code, Detail: verdict.Reason, File: verdict.File, Current: verdict.Current, Faults: verdict.Faults,
	}
}
