package load

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/report"
	"pineturn/core/workload"
)

const testSeed = 7

// fakeHost simulates a host with one target. It counts the attempts of each
// request and passes the count to respond.
type fakeHost struct {
	mu       sync.Mutex
	attempts map[string]int
	respond  func(attempt int, w http.ResponseWriter, r *http.Request)
}

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.attempts[r.Header.Get(headerRequestID)]++
	attempt := h.attempts[r.Header.Get(headerRequestID)]
	h.mu.Unlock()
	h.respond(attempt, w, r)
}

func startHost(t *testing.T, respond func(int, http.ResponseWriter, *http.Request)) (*fakeHost, string) {
	t.Helper()
	host := &fakeHost{attempts: map[string]int{}, respond: respond}
	server := httptest.NewServer(host)
	t.Cleanup(server.Close)
	return host, server.Listener.Addr().String()
}

func respondDone(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerOutcome, report.Done)
	w.Header().Set(headerTarget, "target-1")
	w.Header().Set(headerEpoch, "3")
	fmt.Fprintf(w, `{"service":%q,"key":%q,"request_id":%q,"target":"target-1"}`,
		r.Header.Get(headerService), r.Header.Get(headerKey), r.Header.Get(headerRequestID))
}

// runAgainst performs a short run and returns its report and attempts.
func runAgainst(t *testing.T, hosts []string, change func(*Options)) (*report.Report, []report.Attempt) {
	t.Helper()
	load, err := workload.Named("caroni")
	if err == nil {
		load, err = load.Scale(1, 1).WithServices([]string{"coverdesk"})
	}
	if err != nil {
		t.Fatal(err)
	}
	options := Options{
		Workload: load, Callers: 20, Timeout: 20 * time.Second, Attempts: 3, ProbeInterval: 20 * time.Millisecond,
		Schedule: workload.Options{Seed: testSeed, Rate: 200, Duration: 300 * time.Millisecond, HotSetPeriod: time.Second, Run: "r"},
	}
	if change != nil {
		change(&options)
	}
	sender := NewHostSender(hosts, options.Callers, options.Timeout)
	defer sender.Close()
	var record bytes.Buffer
	clk := clock.System{}
	sink := NewSink(report.Info{}, clk.Now(), &record)
	if err := NewRun(options, sender.Send, clk, sink).Do(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := sink.Flush(); err != nil {
		t.Fatal(err)
	}
	var attempts []report.Attempt
	if err := report.ReadAttempts(&record, func(a report.Attempt) { attempts = append(attempts, a) }); err != nil {
		t.Fatal(err)
	}
	return sink.Collector().Report(), attempts
}

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestRunCountsEveryRequest(t *testing.T) {
	_, address := startHost(t, func(_ int, w http.ResponseWriter, r *http.Request) { respondDone(w, r) })
	result, attempts := runAgainst(t, []string{address}, nil)
	assertEqual(t, "done", result.Totals.Done, result.Totals.Requests)
	assertEqual(t, "attempts recorded", len(attempts), result.Totals.Requests)
	assertEqual(t, "wrong", result.Totals.Wrong, 0)
	if result.Totals.Requests == 0 {
		t.Error("requests: got none, want some")
	}
}

// With a new id for a retry, pineturn could not recognize a duplicate, and a
// request that must run at most once could run twice.
func TestRunRetriesWithTheSameID(t *testing.T) {
	host, address := startHost(t, func(attempt int, w http.ResponseWriter, r *http.Request) {
		if attempt == 1 {
			w.Header().Set(headerOutcome, report.NotRun)
			w.Header().Set(headerReason, "overloaded")
			w.Header().Set(headerRetryAfterMs, "5")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		respondDone(w, r)
	})
	result, _ := runAgainst(t, []string{address}, nil)
	assertEqual(t, "done", result.Totals.Done, result.Totals.Requests)
	assertEqual(t, "retries", result.Totals.Retries, result.Totals.Requests)
	assertEqual(t, "ids", len(host.attempts), result.Totals.Requests)
	assertEqual(t, "refusals", result.Totals.Reasons["not-run/overloaded"], result.Totals.Requests)
}

// A request with outcome unknown may have run. Its retry could run it again.
func TestRunDoesNotRetryUnknownWithoutRetryAfter(t *testing.T) {
	_, address := startHost(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerOutcome, report.Unknown)
		w.Header().Set(headerReason, "target-failed")
		w.WriteHeader(http.StatusBadGateway)
	})
	result, _ := runAgainst(t, []string{address}, nil)
	assertEqual(t, "unknown", result.Totals.Unknown, result.Totals.Requests)
	assertEqual(t, "retries", result.Totals.Retries, 0)
}

func TestRunTriesAnotherHostWhenOneRefuses(t *testing.T) {
	_, address := startHost(t, func(_ int, w http.ResponseWriter, r *http.Request) { respondDone(w, r) })
	result, _ := runAgainst(t, []string{closedAddress(t), address}, nil)
	assertEqual(t, "done", result.Totals.Done, result.Totals.Requests)
	assertEqual(t, "retries", result.Totals.Retries, 0)
}

func TestRunReportsWrongResponses(t *testing.T) {
	responses := map[string]func(int, http.ResponseWriter, *http.Request){
		"other request": func(_ int, w http.ResponseWriter, r *http.Request) {
			r.Header.Set(headerRequestID, "other")
			respondDone(w, r)
		},
		"empty": func(_ int, w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerOutcome, report.Done) },
	}
	for name, respond := range responses {
		t.Run(name, func(t *testing.T) {
			_, address := startHost(t, respond)
			result, _ := runAgainst(t, []string{address}, nil)
			assertEqual(t, "wrong", result.Totals.Wrong, result.Totals.Requests)
		})
	}
}

func TestRunReportsTruncatedResponses(t *testing.T) {
	_, address := startHost(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		respondDone(w, r)
		panic(http.ErrAbortHandler)
	})
	result, _ := runAgainst(t, []string{address}, func(o *Options) { o.Attempts = 1 })
	assertEqual(t, "unknown", result.Totals.Reasons["unknown/answer-cut"]+result.Totals.Reasons["unknown/connection-broken"], result.Totals.Requests)
	assertEqual(t, "done", result.Totals.Done, 0)
}

// Probes counted as requests would change the reported rate and latencies of the
// workload.
func TestProbesAreNotCountedAsRequests(t *testing.T) {
	_, address := startHost(t, func(_ int, w http.ResponseWriter, r *http.Request) { respondDone(w, r) })
	result, attempts := runAgainst(t, []string{address}, func(o *Options) { o.Schedule.Rate, o.Probes = 0, 2 })
	assertEqual(t, "requests", result.Totals.Requests, 0)
	assertEqual(t, "keys", result.Totals.Churn.Keys, 2)
	assertEqual(t, "probes", len(attempts), 2*int(300*time.Millisecond/(20*time.Millisecond)))
}

func TestSettingsReportEveryError(t *testing.T) {
	app := App()
	app.Writer, app.ErrWriter = io.Discard, io.Discard
	err := app.Run(t.Context(), []string{"pineload", "run", "--rate", "-1", "--hosts", "nowhere", "--plot", "a.gif", "--duration", "0s"})
	assertEqual(t, "exit status", ExitStatus(err), ExitUsage)
	for _, want := range []string{"--rate", "--hosts", "--plot", "--duration"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want an error that names %s", err, want)
		}
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
