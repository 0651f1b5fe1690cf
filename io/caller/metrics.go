package caller

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-kit/kit/metrics"

	"pineturn/core/clock"
	"pineturn/core/outcome"
)

// Instrument counts calls by service, outcome and reason, and observes the
// time in seconds until an answer's head by service and outcome. Calls that
// cannot be decoded are not counted.
func Instrument(source clock.Clock, calls metrics.Counter, seconds metrics.Histogram) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			start := source.Now()
			response, err := next(ctx, request)
			service := request.(*Request).Service
			result, reason := outcome.Done, outcome.Reason("")
			var failed failure
			if errors.As(err, &failed) {
				result, reason = failed.cause.Outcome, failed.cause.Reason
			}
			calls.With("service", service, "outcome", result.String(), "reason", string(reason)).Add(1)
			seconds.With("service", service, "outcome", result.String()).Observe(elapsed(source, start))
			return response, err
		}
	}
}

func elapsed(source clock.Clock, start time.Time) float64 {
	return source.Now().Sub(start).Seconds()
}
