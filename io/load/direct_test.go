package load

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/report"
	"pineturn/core/workload"
	"pineturn/io/standin/target"
)

// startTarget starts a target stand-in and returns its address.
func startTarget(t *testing.T, service, name string, options ...target.Option) string {
	t.Helper()
	fake := target.New(append(options, target.WithName(service, name))...)
	server := httptest.NewUnstartedServer(fake)
	server.Listener = fake.Listener(server.Listener)
	server.Start()
	t.Cleanup(func() {
		fake.Close()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func TestDirectReachesTargets(t *testing.T) {
	load, err := workload.Named("caroni")
	if err == nil {
		load, err = load.Scale(0.1, 0.1).WithServices([]string{"recordsvault"})
	}
	if err != nil {
		t.Fatal(err)
	}
	addresses := []string{
		startTarget(t, "recordsvault", "t1", target.WithSlots(4)),
		startTarget(t, "recordsvault", "t2", target.WithSlots(4)),
	}
	clk := clock.System{}
	direct, err := NewDirect(t.Context(), map[string][]string{"recordsvault": addresses}, 20, 20*time.Second, clk)
	if err != nil {
		t.Fatal(err)
	}
	defer direct.Close()
	sink := NewSink(report.Info{}, clk.Now(), io.Discard)
	options := Options{
		Workload: load, Callers: 20, Attempts: 1,
		Schedule: workload.Options{Seed: testSeed, Rate: 300, Duration: time.Second, HotSetPeriod: time.Second, Run: "d"},
	}
	if err := NewRun(options, direct.Send, clk, sink).Do(t.Context()); err != nil {
		t.Fatal(err)
	}
	result := sink.Collector().Report()
	assertEqual(t, "done", result.Totals.Done, result.Totals.Requests)
	assertEqual(t, "wrong", result.Totals.Wrong, 0)
	assertEqual(t, "targets", result.Services[0].Imbalance.Targets, 2)
}

func TestBodyVerifier(t *testing.T) {
	const line = `{"service":"s","key":"k","request_id":"r1","target":"t"}` + "\n"
	tests := map[string]struct {
		chunks []string
		size   int64
		ok     bool
	}{
		"short":              {[]string{line}, 0, true},
		"in two chunks":      {[]string{line[:20], line[20:]}, 0, true},
		"sized":              {[]string{line + "r1\nr", "1\nr"}, int64(len(line)) + 7, true},
		"other id in a line": {[]string{line + "r1\nr2\n"}, int64(len(line)) + 6, false},
		"too short":          {[]string{line + "r1\n"}, int64(len(line)) + 6, false},
		"other id":           {[]string{`{"service":"s","key":"k","request_id":"r2"}` + "\n"}, 0, false},
		"other key":          {[]string{`{"service":"s","key":"j","request_id":"r1"}` + "\n"}, 0, false},
		"empty":              {nil, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body := newBodyVerifier("r1")
			for _, chunk := range test.chunks {
				_, _ = body.Write([]byte(chunk))
			}
			attempt := report.Attempt{ID: "r1", Service: "s", Key: "k", WantBytes: test.size}
			body.check(&attempt)
			assertEqual(t, "BodyOK", attempt.BodyOK, test.ok)
		})
	}
}
