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

// Instrument returns a middleware that counts requests by service, outcome and
// reason, and observes the time until the head of the response, in seconds, by
// service and outcome. Requests that cannot be decoded are not counted.
func Instrument(clk clock.Clock, requests metrics.Counter, seconds metrics.Histogram) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			start := clk.Now()
			response, err := next(ctx, request)
			service := request.(*Request).Service
			result, reason := outcome.Done, outcome.Reason("")
			var failure requestError
			if errors.As(err, &failure) {
				result, reason = failure.cause.Outcome, failure.cause.Reason
			}
			requests.With("service", service, "outcome", result.String(), "reason", string(reason)).Add(1)
			seconds.With("service", service, "outcome", result.String()).Observe(elapsed(clk, start))
			return response, err
		}
	}
}

func elapsed(clk clock.Clock, start time.Time) float64 {
	return clk.Now().Sub(start).Seconds()
}
