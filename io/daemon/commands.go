package daemon

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"pineturn/core/fold"
	"pineturn/core/record"
	"pineturn/io/operator"
)

// authorize returns an error if an operator's request lacks a valid operator key. It
// accepts every request if operator keys are disabled.
func (d *Daemon) authorize(r *http.Request) error {
	if keys := d.credentials.OperatorKeys(); keys != nil && !keys.Authorized(r) {
		return errors.New("operator key missing or unknown")
	}
	return nil
}

// commands returns the handlers for operators' changes.
func (d *Daemon) commands() operator.Commands {
	return operator.Commands{Submit: d.submit, Reset: d.reset}
}

// submit appends operators' operations and returns their results once they
// are read back from the log, and the resulting version, which is the log offset after
// the batch's record.
func (d *Daemon) submit(ctx context.Context, ops []record.Op) ([]operator.Result, uint64, error) {
	if !d.host.Ready() {
		return nil, 0, errors.Wrap(operator.ErrUnavailable, "this host has no state yet")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	submitted, err := d.writer.Submit(ctx, ops)
	if errors.Is(err, errUnknownOutcome) {
		return nil, 0, errors.Wrap(operator.ErrUnknownOutcome, err.Error())
	}
	if err != nil {
		return nil, 0, errors.Wrap(operator.ErrUnavailable, err.Error())
	}
	results := make([]operator.Result, len(ops))
	for i, result := range submitted.Results {
		results[i] = toOperatorResult(result)
	}
	return results, submitted.Offset + 1, nil
}

// toOperatorResult converts the result of an operation.
func toOperatorResult(result fold.Result) operator.Result {
	if result.Err == nil {
		return operator.Result{Accepted: true}
	}
	return operator.Result{
		Reason: result.Err.Error(), Conflict: errors.Is(result.Err, fold.ErrStale),
		File: result.File, Current: result.Current, Faults: result.Faults,
	}
}

// reset makes this host the only member. The operator has to ensure that no
// former member is still running.
func (d *Daemon) reset(ctx context.Context) (operator.Result, uint64, error) {
	var op record.Reset
	d.host.ViewState(func(state *fold.State) {
		op = record.Reset{Member: d.host.Self(), Expect: state.Members().Epoch()}
	})
	results, version, err := d.submit(ctx, []record.Op{{Reset: &op}})
	if err != nil {
		return operator.Result{}, 0, err
	}
	return results[0], version, nil
}
