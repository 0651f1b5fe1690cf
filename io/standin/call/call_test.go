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

const patience = 30 * time.Second

// host answers as handle says.
func host(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// answer states an outcome and answers as the target would, but for change.
func answer(outcome string, change func(string) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Pineturn-Outcome", outcome)
		body := target.Response{
			Service: "s", Key: r.Header.Get("Pineturn-Key"), RequestID: r.Header.Get("Pineturn-Request-Id"), Size: 400,
		}.Body()
		_, _ = w.Write([]byte(change(string(body))))
	}
}

func cut(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Pineturn-Outcome", "done")
	_, _ = w.Write([]byte("part"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func TestOutcomes(t *testing.T) {
	same := func(body string) string { return body }
	refused := httptest.NewServer(nil)
	gone := strings.TrimPrefix(refused.URL, "http://")
	refused.Close()
	cases := map[string]struct {
		host    string
		outcome string
		ok      bool
	}{
		"done":                {host(t, answer("done", same)), "done", true},
		"done, cut in length": {host(t, answer("done", func(b string) string { return b[:300] })), "done", false},
		"done, changed":       {host(t, answer("done", func(b string) string { return b[:399] + "?" })), "done", false},
		"not run":             {host(t, answer("not-run", same)), "not-run", false},
		"unknown":             {host(t, answer("unknown", same)), "unknown", false},
		"no outcome":          {host(t, answer("", same)), "unknown", false},
		"connection cut":      {host(t, cut), "unknown", false},
		"connection refused":  {gone, "not-run", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			result := call.New(patience).Do(context.Background(), call.Request{
				Host: c.host, ID: "r1", Service: "s", Key: "k", Method: "POST", Path: "/pay?size=400",
			})
			if got := result.Record; got.Outcome != c.outcome || got.BodyOK != c.ok {
				t.Fatalf("got %+v, %v, want %s, ok %t", got, result.Err, c.outcome, c.ok)
			}
		})
	}
}

func TestRunTriesAnotherHostOnlyWhenNotRun(t *testing.T) {
	same := func(body string) string { return body }
	var out strings.Builder
	totals, err := call.New(patience).Run(context.Background(), call.Workload{
		Request:     call.Request{ID: "r", Service: "s", Key: "k", Method: "POST", Path: "/"},
		Hosts:       []string{host(t, answer("not-run", same)), host(t, answer("done", same))},
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
