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

// maxCommandSize is the largest body of a command, in bytes. A batch of
// record.MaxSize bytes encoded in base64 fits into it.
const maxCommandSize = 1 << 20

// maxChangeSize is the most file content in one change, in bytes. It is below
// record.MaxSize, since a batch holds more than the content of files.
const maxChangeSize = 384 << 10

// Result is the result of one operation that was read back from the log.
type Result struct {
	Accepted bool
	// Reason is the reason why the operation was not accepted.
	Reason string
	// Conflict reports that another change came first: the operation expected a
	// version of File other than Current, the version in force.
	Conflict bool
	File     string
	Current  uint64
	Faults   []config.Fault
}

// Commands holds the functions of the daemon that carry out operators' commands.
type Commands struct {
	// Submit appends operations to the log as one batch and reads the batch back.
	// It returns a result for each operation and the version that the batch
	// created, which is the log offset after its record. The error wraps
	// ErrUnknownOutcome if the batch may still take effect, and ErrUnavailable if it
	// certainly has no effect.
	Submit func(ctx context.Context, ops []record.Op) ([]Result, uint64, error)
	// Reset makes this host the only member. Its errors are those of Submit.
	Reset func(ctx context.Context) (Result, uint64, error)
}

// ChangeFiles is the command that changes configuration files. Either all changes
// take effect or none.
type ChangeFiles struct {
	Author  string              `json:"author"`
	Changes []record.FileChange `json:"changes"`
}

// DrainTarget is the command that starts (On) or ends the drain of a target.
type DrainTarget struct {
	Target record.Target `json:"target"`
	On     bool          `json:"on"`
}

// ResetMembers is the command that makes the responding host the only member.
// Confirm must be set: with it the operator confirms that all former members have
// stopped.
type ResetMembers struct {
	Confirm bool `json:"confirm"`
}

// CommandResponse is the response to a command that took effect.
type CommandResponse struct {
	// Version is the new version of the changed files: the log offset after the
	// record of the change. A later change of these files states it as the expected
	// version.
	Version uint64 `json:"version"`
}

func (c Commands) register(mux *http.ServeMux) {
	mux.Handle("POST "+pathFiles, commandHandler(c.changeFiles))
	mux.Handle("POST "+pathDrain, commandHandler(c.drainTarget))
	mux.Handle("POST "+pathReset, commandHandler(c.resetMembers))
}

// commandHandler returns the HTTP handler of one kind of command.
func commandHandler[T any](run func(context.Context, T) (CommandResponse, error)) http.Handler {
	var serve endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return run(ctx, request.(T))
	}
	return kithttp.NewServer(serve, decodeCommand[T], kithttp.EncodeJSONResponse, serverOptions()...)
}

func decodeCommand[T any](_ context.Context, r *http.Request) (any, error) {
	var cmd T
	body := http.MaxBytesReader(nil, r.Body, maxCommandSize)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&cmd); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, badRequest("more than %d bytes; change fewer files at once", maxCommandSize)
		}
		return nil, badRequest("not the JSON of this order: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, badRequest("more than one order")
	}
	return cmd, nil
}

func badRequest(format string, args ...any) *Error {
	return &Error{Code: CodeBadRequest, Detail: fmt.Sprintf(format, args...)}
}

func (c Commands) changeFiles(ctx context.Context, cmd ChangeFiles) (CommandResponse, error) {
	if len(cmd.Changes) == 0 {
		return CommandResponse{}, badRequest("no changes")
	}
	size := 0
	for _, change := range cmd.Changes {
		size += len(change.Content)
		if text := config.CheckFileName(change.Name); text != "" && !change.Remove {
			fault := config.Fault{File: change.Name, Text: text}
			return CommandResponse{}, &Error{Code: CodeRefused, Detail: "nothing was changed", Faults: []config.Fault{fault}}
		}
	}
	if size > maxChangeSize {
		detail := fmt.Sprintf("%d bytes of files, at most %d in one change; change fewer files at once", size, maxChangeSize)
		return CommandResponse{}, &Error{Code: CodeRefused, Detail: detail}
	}
	return c.submit(ctx, record.Op{Files: &record.Files{Author: cmd.Author, Changes: cmd.Changes}})
}

func (c Commands) drainTarget(ctx context.Context, cmd DrainTarget) (CommandResponse, error) {
	return c.submit(ctx, record.Op{Drain: &record.Drain{Target: cmd.Target, On: cmd.On}})
}

func (c Commands) resetMembers(ctx context.Context, cmd ResetMembers) (CommandResponse, error) {
	if !cmd.Confirm {
		return CommandResponse{}, badRequest("not confirmed: stop every former member first")
	}
	if c.Reset == nil {
		return CommandResponse{}, ErrUnavailable
	}
	result, version, err := c.Reset(ctx)
	if err != nil {
		return CommandResponse{}, err
	}
	return commandResponse(result, version)
}

// submit submits one operation and returns the response to its command.
func (c Commands) submit(ctx context.Context, op record.Op) (CommandResponse, error) {
	if c.Submit == nil {
		return CommandResponse{}, ErrUnavailable
	}
	results, version, err := c.Submit(ctx, []record.Op{op})
	if err != nil {
		return CommandResponse{}, err
	}
	if len(results) != 1 {
		return CommandResponse{}, errors.Wrapf(ErrUnknownOutcome, "%d verdicts for one operation", len(results))
	}
	return commandResponse(results[0], version)
}

// commandResponse returns the response for the result of an operation. The error
// is an *Error with CodeConflict or CodeRefused if the operation was not accepted.
func commandResponse(result Result, version uint64) (CommandResponse, error) {
	if result.Accepted {
		return CommandResponse{Version: version}, nil
	}
	code := CodeRefused
	if result.Conflict {
		code = CodeConflict
	}
	return CommandResponse{}, &Error{
		Code: code, Detail: result.Reason, File: result.File, Current: result.Current, Faults: result.Faults,
	}
}
