package daemon

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"pineturn/core/fold"
	"pineturn/core/record"
	"pineturn/io/operator"
)

// authorize returns an error if an operator's request lacks a valid operator key.
func (d *Daemon) authorize(r *http.Request) error {
	if keys := d.keys.OperatorKeys(); keys != nil && !keys.Authorized(r) {
		return errors.New("operator key missing or unknown")
	}
	return nil
}

// commands returns the handlers for operators' changes.
func (d *Daemon) commands() operator.Commands {
	return operator.Commands{Submit: d.submit, Reset: d.reset}
}

// submit appends operators' operations and returns their verdicts and the
// resulting version once they are read back from the log.
func (d *Daemon) submit(ctx context.Context, ops []record.Op) ([]operator.Verdict, uint64, error) {
	if !d.host.Ready() {
		return nil, 0, errors.Wrap(operator.ErrUnavailable, "this host has no state yet")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	submitted, err := d.writer.Submit(ctx, ops)
	if errors.Is(err, errUnknownOutcome) {
		return nil, 0, errors.Wrap(operator.ErrUnknownFate, err.Error())
	}
	if err != nil {
		return nil, 0, errors.Wrap(operator.ErrUnavailable, err.Error())
	}
	verdicts := make([]operator.Verdict, len(ops))
	for i, result := range submitted.Results {
		verdicts[i] = verdictOf(result)
	}
	return verdicts, submitted.Offset + 1, nil
}

func verdictOf(result fold.Result) operator.Verdict {
	if result.Err == nil {
		return operator.Verdict{Accepted: true}
	}
	return operator.Verdict{
		Reason: result.Err.Error(), Conflict: errors.Is(result.Err, fold.ErrStale),
		File: result.File, Current: result.Current, Faults: result.Faults,
	}
}

// reset makes this host the only member. The operator has to ensure that no
// former member is still running.
func (d *Daemon) reset(ctx context.Context) (operator.Verdict, uint64, error) {
	var op record.Reset
	d.host.ViewState(func(state *fold.State) {
		op = record.Reset{Member: d.host.Self(), Expect: state.Members().Epoch()}
	})
	verdicts, version, err := d.submit(ctx, []record.Op{{Reset: &op}})
	if err != nil {
		return operator.Verdict{}, 0, err
	}
	return verdicts[0], version, nil
}
