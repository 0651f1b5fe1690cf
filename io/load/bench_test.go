package load

import (
	"context"
	"io"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/report"
	"pineturn/core/workload"
)

// BenchmarkAttempt measures the overhead of the load tool per attempt, without
// HTTP.
func BenchmarkAttempt(b *testing.B) {
	load, err := workload.Named("caroni")
	if err != nil {
		b.Fatal(err)
	}
	schedule, err := workload.NewSchedule(load, workload.Options{Seed: testSeed, Rate: 1e4, Duration: time.Hour, HotSetPeriod: time.Second, Run: "b"})
	if err != nil {
		b.Fatal(err)
	}
	clk := clock.System{}
	sink := NewSink(report.Info{}, clk.Now(), io.Discard)
	send := func(_ context.Context, _ *workload.Request, attempt *report.Attempt) {
		attempt.Outcome, attempt.Target, attempt.BodyOK = report.Done, "t", true
	}
	run := NewRun(Options{Workload: load, Attempts: 1}, send, clk, sink)
	b.ReportAllocs()
	for b.Loop() {
		request, _ := schedule.Next()
		run.outstanding.Add(1)
		run.attempt(b.Context(), job{request: request, number: 1})
	}
}
