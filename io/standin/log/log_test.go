package log_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/io/standin/log"
)

// result is the response to one request, or the error if none arrived.
type result struct {
	status int
	body   string
	err    error
}

func send(t *testing.T, method, url, body string) result {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, body: strings.TrimSpace(string(data)), err: err}
}

func assertResponse(t *testing.T, got result, status int, body string) {
	t.Helper()
	if got.err != nil {
		t.Fatalf("got error %v, want %d", got.err, status)
	}
	if got.status != status || (body != "" && got.body != body) {
		t.Fatalf("got %d %s, want %d %s", got.status, got.body, status, body)
	}
}

func start(t *testing.T, options ...log.Option) (*log.Service, string) {
	t.Helper()
	service := log.New(options...)
	server := httptest.NewServer(service)
	t.Cleanup(func() {
		service.Close()
		server.Close()
	})
	return service, server.URL
}

const records = "/v1/streams/pineturn/records"

// Guards against records that are read at other offsets than those of their appends,
// and against requests that are accepted although malformed or larger than 1 MiB.
func TestAppendAndRead(t *testing.T) {
	_, url := start(t)
	assertResponse(t, send(t, "POST", url+records, "one"), 200, `{"offset":0}`)
	assertResponse(t, send(t, "POST", url+records, "two"), 200, `{"offset":1}`)
	assertResponse(t, send(t, "GET", url+records+"?from=1&max=5", ""), 200,
		`{"earliest":0,"next":2,"records":[{"offset":1,"data":"dHdv"}]}`)
	assertResponse(t, send(t, "GET", url+records+"?from=2", ""), 200, `{"earliest":0,"next":2,"records":[]}`)
	assertResponse(t, send(t, "GET", url+records+"?from=x", ""), 400, "")
	assertResponse(t, send(t, "POST", url+records, strings.Repeat("x", 1<<20+1)), 413, "")
}

// Guards against a read that misses an append or returns without records: a record
// is appended while a read with a wait of 30 s may be waiting.
func TestAppendEndsLongPoll(t *testing.T) {
	_, url := start(t)
	got := make(chan result)
	go func() { got <- send(t, "GET", url+records+"?from=0&wait_ms=30000", "") }()
	assertResponse(t, send(t, "POST", url+records, "one"), 200, "")
	assertResponse(t, <-got, 200, `{"earliest":0,"next":1,"records":[{"offset":0,"data":"b25l"}]}`)
}

// Guards against a gap that a reader can't detect: records are dropped by age, by
// count and by a trim. A read before the first retained record returns the earliest
// offset, and offsets are not used again.
func TestRetention(t *testing.T) {
	t.Run("age", func(t *testing.T) {
		now := clock.NewFake(time.Unix(0, 0))
		_, url := start(t, log.WithClock(now), log.WithRetain(time.Minute))
		send(t, "POST", url+records, "one")
		now.Advance(2 * time.Minute)
		send(t, "POST", url+records, "two")
		assertResponse(t, send(t, "GET", url+records+"?from=0", ""), 410, `{"earliest":1,"next":2}`)
	})
	t.Run("count", func(t *testing.T) {
		_, url := start(t, log.WithRetainRecords(1))
		send(t, "POST", url+records, "one")
		send(t, "POST", url+records, "two")
		assertResponse(t, send(t, "GET", url+records+"?from=0", ""), 410, `{"earliest":1,"next":2}`)
	})
	t.Run("trim", func(t *testing.T) {
		_, url := start(t)
		send(t, "POST", url+records, "one")
		assertResponse(t, send(t, "POST", url+"/admin/trim", `{"stream":"pineturn","before":9}`), 200, `{"earliest":1,"next":1}`)
		assertResponse(t, send(t, "POST", url+records, "two"), 200, `{"offset":1}`)
	})
}

// Guards against a fault that differs from its mode: an append that takes effect
// while the log is down or hangs, one that is lost together with its response, or a
// waiting read that outlasts the start of an outage. An unknown mode is refused.
func TestFaults(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		service, url := start(t)
		service.SetFault(log.Fault{Mode: log.Down})
		assertResponse(t, send(t, "POST", url+records, "one"), 503, "")
		assertResponse(t, send(t, "GET", url+records, ""), 503, "")
		assertNext(t, service, 0)
	})
	t.Run("down ends a waiting read", func(t *testing.T) {
		service, url := start(t)
		got := make(chan result)
		go func() { got <- send(t, "GET", url+records+"?wait_ms=30000", "") }()
		service.SetFault(log.Fault{Mode: log.Down})
		assertResponse(t, <-got, 503, "")
	})
	t.Run("response lost", func(t *testing.T) {
		service, url := start(t)
		assertResponse(t, send(t, "POST", url+"/admin/faults", `{"mode":"lose-answers","count":1}`), 200, "")
		if got := send(t, "POST", url+records, "one"); got.err == nil {
			t.Fatalf("got %d, want no response", got.status)
		}
		assertNext(t, service, 1)
		assertResponse(t, send(t, "POST", url+records, "two"), 200, `{"offset":1}`)
	})
	t.Run("hang only appends", func(t *testing.T) {
		service, url := start(t)
		service.SetFault(log.Fault{Mode: log.Hang, Only: "append"})
		got := make(chan result)
		go func() { got <- send(t, "POST", url+records, "one") }()
		assertResponse(t, send(t, "GET", url+records, ""), 200, "")
		service.Close()
		if lost := <-got; lost.err == nil {
			t.Fatalf("got %d, want no response", lost.status)
		}
		assertNext(t, service, 0)
	})
	t.Run("unknown mode", func(t *testing.T) {
		_, url := start(t)
		assertResponse(t, send(t, "POST", url+"/admin/faults", `{"mode":"odd"}`), 400, "")
	})
}

func assertNext(t *testing.T, service *log.Service, want uint64) {
	t.Helper()
	if got := service.Stats().Streams["pineturn"].Next; got != want {
		data, _ := json.Marshal(service.Stats())
		t.Fatalf("got next %d, want %d: %s", got, want, data)
	}
}
