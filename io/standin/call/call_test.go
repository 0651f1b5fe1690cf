package call_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pineturn/core/audit"
	"pineturn/io/standin/call"
	"pineturn/io/standin/target"
)

const timeout = 30 * time.Second

// startHost starts a server with the given handler and returns its address.
func startHost(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// respond returns a handler that states an outcome and responds with the
// target's body after change.
func respond(outcome string, change func(string) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Pineturn-Outcome", outcome)
		body := target.Response{
			Service: "s", Key: r.Header.Get("Pineturn-Key"), RequestID: r.Header.Get("Pineturn-Request-Id"), Size: 400,
		}.Body()
		_, _ = w.Write([]byte(change(string(body))))
	}
}

// abortResponse closes the connection after a part of the body.
func abortResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Pineturn-Outcome", "done")
	_, _ = w.Write([]byte("part"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against a caller that records a wrong outcome or accepts a wrong body:
// hosts state each outcome or none, change or truncate the body, or cut or refuse
// the connection.
func TestOutcomes(t *testing.T) {
	unchanged := func(body string) string { return body }
	closedServer := httptest.NewServer(nil)
	closedHost := strings.TrimPrefix(closedServer.URL, "http://")
	closedServer.Close()
	cases := map[string]struct {
		host    string
		outcome string
		ok      bool
	}{
		"done":               {startHost(t, respond("done", unchanged)), "done", true},
		"done, truncated":    {startHost(t, respond("done", func(b string) string { return b[:300] })), "done", false},
		"done, changed":      {startHost(t, respond("done", func(b string) string { return b[:399] + "?" })), "done", false},
		"not run":            {startHost(t, respond("not-run", unchanged)), "not-run", false},
		"unknown":            {startHost(t, respond("unknown", unchanged)), "unknown", false},
		"no outcome":         {startHost(t, respond("", unchanged)), "unknown", false},
		"connection cut":     {startHost(t, abortResponse), "unknown", false},
		"connection refused": {closedHost, "not-run", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			result := call.New(timeout).Do(context.Background(), call.Request{
				Host: c.host, ID: "r1", Service: "s", Key: "k", Method: "POST", Path: "/pay?size=400",
			})
			if got := result.Record; got.Outcome != c.outcome || got.BodyOK != c.ok {
				t.Fatalf("got %+v, %v, want %s, ok %t", got, result.Err, c.outcome, c.ok)
			}
		})
	}
}

// Guards against a retry of a request that was done, which could run it twice: one
// host responds with not-run, the other with done, and the attempts are counted.
func TestRunRetriesOnlyNotRun(t *testing.T) {
	unchanged := func(body string) string { return body }
	var out strings.Builder
	totals, err := call.New(timeout).Run(context.Background(), call.Workload{
		Request:     call.Request{ID: "r", Service: "s", Key: "k", Method: "POST", Path: "/"},
		Hosts:       []string{startHost(t, respond("not-run", unchanged)), startHost(t, respond("done", unchanged))},
		Count:       4,
		Keys:        3,
		MaxAttempts: 2,
		Seed:        1,
	}, &out)
	if want := (call.Totals{Done: 4, Attempts: 6}); err != nil || totals != want {
		t.Fatalf("got %+v, %v, want %+v", totals, err, want)
	}
	var first audit.Record
	if err := json.Unmarshal([]byte(strings.SplitN(out.String(), "\n", 2)[0]), &first); err != nil {
		t.Fatal(err)
	}
	if first.ID != "r-0" || first.Attempt != 1 || first.Outcome != "not-run" {
		t.Fatalf("got %+v, want attempt 1 of r-0, not run", first)
	}
}
