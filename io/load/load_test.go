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

// fakeHost answers as an entry host with one target behind it.
type fakeHost struct {
	mu     sync.Mutex
	seen   map[string]int
	answer func(seen int, w http.ResponseWriter, r *http.Request)
}

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.seen[r.Header.Get(headerRequestID)]++
	seen := h.seen[r.Header.Get(headerRequestID)]
	h.mu.Unlock()
	h.answer(seen, w, r)
}

func startHost(t *testing.T, answer func(int, http.ResponseWriter, *http.Request)) (*fakeHost, string) {
	t.Helper()
	host := &fakeHost{seen: map[string]int{}, answer: answer}
	server := httptest.NewServer(host)
	t.Cleanup(server.Close)
	return host, server.Listener.Addr().String()
}

func answerDone(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerOutcome, report.Done)
	w.Header().Set(headerTarget, "target-1")
	w.Header().Set(headerEpoch, "3")
	fmt.Fprintf(w, `{"service":%q,"key":%q,"request_id":%q,"target":"target-1"}`,
		r.Header.Get(headerService), r.Header.Get(headerKey), r.Header.Get(headerRequestID))
}

// runAgainst does a short run and returns its report and its attempts.
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
		Workload: load, Callers: 20, Timeout: 20 * time.Second, Attempts: 3, ProbeEvery: 20 * time.Millisecond,
		Schedule: workload.Options{Seed: testSeed, Rate: 200, Duration: 300 * time.Millisecond, HotSetPeriod: time.Second, Run: "r"},
	}
	if change != nil {
		change(&options)
	}
	entry := NewEntry(hosts, options.Callers, options.Timeout)
	defer entry.Close()
	var record bytes.Buffer
	clk := clock.System{}
	sink := NewSink(report.Info{}, clk.Now(), &record)
	if err := NewRun(options, entry.Send, clk, sink).Do(t.Context()); err != nil {
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

func equal[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestRunCountsEveryRequest(t *testing.T) {
	_, address := startHost(t, func(_ int, w http.ResponseWriter, r *http.Request) { answerDone(w, r) })
	result, attempts := runAgainst(t, []string{address}, nil)
	equal(t, "done", result.Totals.Done, result.Totals.Requests)
	equal(t, "attempts recorded", len(attempts), result.Totals.Requests)
	equal(t, "wrong", result.Totals.Wrong, 0)
	if result.Totals.Requests == 0 {
		t.Error("got no requests")
	}
}

func TestRunRetriesWithTheSameID(t *testing.T) {
	host, address := startHost(t, func(seen int, w http.ResponseWriter, r *http.Request) {
		if seen == 1 {
			w.Header().Set(headerOutcome, report.NotRun)
			w.Header().Set(headerReason, "overloaded")
			w.Header().Set(headerRetryAfterMs, "5")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		answerDone(w, r)
	})
	result, _ := runAgainst(t, []string{address}, nil)
	equal(t, "done", result.Totals.Done, result.Totals.Requests)
	equal(t, "retries", result.Totals.Retries, result.Totals.Requests)
	equal(t, "ids", len(host.seen), result.Totals.Requests)
	equal(t, "refusals", result.Totals.Reasons["not-run/overloaded"], result.Totals.Requests)
}

func TestRunDoesNotRetryUnknownWithoutAdvice(t *testing.T) {
	_, address := startHost(t, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerOutcome, report.Unknown)
		w.Header().Set(headerReason, "target-failed")
		w.WriteHeader(http.StatusBadGateway)
	})
	result, _ := runAgainst(t, []string{address}, nil)
	equal(t, "unknown", result.Totals.Unknown, result.Totals.Requests)
	equal(t, "retries", result.Totals.Retries, 0)
}

func TestRunTriesAnotherHostWhenOneRefuses(t *testing.T) {
	_, address := startHost(t, func(_ int, w http.ResponseWriter, r *http.Request) { answerDone(w, r) })
	result, _ := runAgainst(t, []string{closedAddress(t), address}, nil)
	equal(t, "done", result.Totals.Done, result.Totals.Requests)
	equal(t, "retries", result.Totals.Retries, 0)
}

func TestRunReportsWrongAnswers(t *testing.T) {
	answers := map[string]func(int, http.ResponseWriter, *http.Request){
		"another request's": func(_ int, w http.ResponseWriter, r *http.Request) {
			r.Header.Set(headerRequestID, "other")
			answerDone(w, r)
		},
		"empty": func(_ int, w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerOutcome, report.Done) },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			_, address := startHost(t, answer)
			result, _ := runAgainst(t, []string{address}, nil)
			equal(t, "wrong", result.Totals.Wrong, result.Totals.Requests)
		})
	}
}

func TestRunReportsCutAnswers(t *testing.T) {
	_, address := startHost(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		answerDone(w, r)
		panic(http.ErrAbortHandler)
	})
	result, _ := runAgainst(t, []string{address}, func(o *Options) { o.Attempts = 1 })
	equal(t, "unknown", result.Totals.Reasons["unknown/answer-cut"]+result.Totals.Reasons["unknown/connection-broken"], result.Totals.Requests)
	equal(t, "done", result.Totals.Done, 0)
}

func TestProbesAreNotCountedAsRequests(t *testing.T) {
	_, address := startHost(t, func(_ int, w http.ResponseWriter, r *http.Request) { answerDone(w, r) })
	result, attempts := runAgainst(t, []string{address}, func(o *Options) { o.Schedule.Rate, o.Probes = 0, 2 })
	equal(t, "requests", result.Totals.Requests, 0)
	equal(t, "keys", result.Totals.Churn.Keys, 2)
	equal(t, "probes", len(attempts), 2*int(300*time.Millisecond/(20*time.Millisecond)))
}

func TestSettingsNameEveryFault(t *testing.T) {
	app := App()
	app.Writer, app.ErrWriter = io.Discard, io.Discard
	err := app.Run(t.Context(), []string{"pineload", "run", "--rate", "-1", "--hosts", "nowhere", "--plot", "a.gif", "--duration", "0s"})
	equal(t, "exit status", Status(err), ExitUsage)
	for _, want := range []string{"--rate", "--hosts", "--plot", "--duration"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want a fault of %s", err, want)
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
