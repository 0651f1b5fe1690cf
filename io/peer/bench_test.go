package peer

import (
	"bytes"
	"io"
	"syscall"
	"testing"
	"time"

	"pineturn/core/message"
	"pineturn/core/shard"
)

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportCPU measures processor time, of both ends, until its result is called.
func reportCPU(b *testing.B) func() {
	b.Helper()
	b.ReportAllocs()
	b.ResetTimer()
	start := processorTime(b)
	return func() {
		b.StopTimer()
		b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op")
	}
}

func BenchmarkCall(b *testing.B) {
	r := newRig(b, Options{})
	assertPing(b, r, 1)
	defer reportCPU(b)()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := r.client.Call(b.Context(), r.to, ping(1)); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// benchRequest is a request as callers send them, with a body of 1 KiB that
// comes back as the answer.
var benchRequest = &message.Request{
	ID:     "01J9ZQ4W8N5T3R7K2M6P",
	Shard:  shard.ID{Service: "payoutledger", Group: "all", Index: 17},
	Epoch:  5,
	Key:    "branch-4711",
	Method: "POST",
	Path:   "/payouts",
	Header: map[string][]string{"Content-Type": {"application/json"}, "Accept": {"*/*"}},
	Body:   bytes.Repeat([]byte{'x'}, 1<<10),
}

func BenchmarkRequest(b *testing.B) {
	r := newRig(b, Options{})
	assertEcho(b, r, benchRequest.Body)
	defer reportCPU(b)()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			answer, fail := r.client.Request(b.Context(), r.to, benchRequest)
			if fail != nil {
				b.Error(fail)
				return
			}
			n, err := io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			if err != nil || n != int64(len(benchRequest.Body)) {
				b.Errorf("got %d bytes and error %v, want %d and none", n, err, len(benchRequest.Body))
			}
		}
	})
}
