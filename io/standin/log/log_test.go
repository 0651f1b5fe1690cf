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

// answer is what came of one request; an error stands for no answer.
type answer struct {
	status int
	body   string
	err    error
}

func ask(t *testing.T, method, url, body string) answer {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: strings.TrimSpace(string(data)), err: err}
}

func assertAnswer(t *testing.T, got answer, status int, body string) {
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

func TestAppendAndRead(t *testing.T) {
	_, url := start(t)
	assertAnswer(t, ask(t, "POST", url+records, "one"), 200, `{"offset":0}`)
	assertAnswer(t, ask(t, "POST", url+records, "two"), 200, `{"offset":1}`)
	assertAnswer(t, ask(t, "GET", url+records+"?from=1&max=5", ""), 200,
		`{"earliest":0,"next":2,"records":[{"offset":1,"data":"dHdv"}]}`)
	assertAnswer(t, ask(t, "GET", url+records+"?from=2", ""), 200, `{"earliest":0,"next":2,"records":[]}`)
	assertAnswer(t, ask(t, "GET", url+records+"?from=x", ""), 400, "")
	assertAnswer(t, ask(t, "POST", url+records, strings.Repeat("x", 1<<20+1)), 413, "")
}

func TestLongPollSeesTheAppend(t *testing.T) {
	_, url := start(t)
	got := make(chan answer)
	go func() { got <- ask(t, "GET", url+records+"?from=0&wait_ms=30000", "") }()
	assertAnswer(t, ask(t, "POST", url+records, "one"), 200, "")
	assertAnswer(t, <-got, 200, `{"earliest":0,"next":1,"records":[{"offset":0,"data":"b25l"}]}`)
}

func TestRetention(t *testing.T) {
	t.Run("age", func(t *testing.T) {
		now := clock.NewFake(time.Unix(0, 0))
		_, url := start(t, log.WithClock(now), log.WithRetain(time.Minute))
		ask(t, "POST", url+records, "one")
		now.Advance(2 * time.Minute)
		ask(t, "POST", url+records, "two")
		assertAnswer(t, ask(t, "GET", url+records+"?from=0", ""), 410, `{"earliest":1,"next":2}`)
	})
	t.Run("count", func(t *testing.T) {
		_, url := start(t, log.WithRetainRecords(1))
		ask(t, "POST", url+records, "one")
		ask(t, "POST", url+records, "two")
		assertAnswer(t, ask(t, "GET", url+records+"?from=0", ""), 410, `{"earliest":1,"next":2}`)
	})
	t.Run("trim", func(t *testing.T) {
		_, url := start(t)
		ask(t, "POST", url+records, "one")
		assertAnswer(t, ask(t, "POST", url+"/admin/trim", `{"stream":"pineturn","before":9}`), 200, `{"earliest":1,"next":1}`)
		assertAnswer(t, ask(t, "POST", url+records, "two"), 200, `{"offset":1}`)
	})
}

func TestFaults(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		service, url := start(t)
		service.SetFault(log.Fault{Mode: log.Down})
		assertAnswer(t, ask(t, "POST", url+records, "one"), 503, "")
		assertAnswer(t, ask(t, "GET", url+records, ""), 503, "")
		assertNext(t, service, 0)
	})
	t.Run("down ends a waiting read", func(t *testing.T) {
		service, url := start(t)
		got := make(chan answer)
		go func() { got <- ask(t, "GET", url+records+"?wait_ms=30000", "") }()
		service.SetFault(log.Fault{Mode: log.Down})
		assertAnswer(t, <-got, 503, "")
	})
	t.Run("answer lost", func(t *testing.T) {
		service, url := start(t)
		assertAnswer(t, ask(t, "POST", url+"/admin/faults", `{"mode":"lose-answers","count":1}`), 200, "")
		if got := ask(t, "POST", url+records, "one"); got.err == nil {
			t.Fatalf("got %d, want no answer", got.status)
		}
		assertNext(t, service, 1)
		assertAnswer(t, ask(t, "POST", url+records, "two"), 200, `{"offset":1}`)
	})
	t.Run("hang only appends", func(t *testing.T) {
		service, url := start(t)
		service.SetFault(log.Fault{Mode: log.Hang, Only: "append"})
		got := make(chan answer)
		go func() { got <- ask(t, "POST", url+records, "one") }()
		assertAnswer(t, ask(t, "GET", url+records, ""), 200, "")
		service.Close()
		if lost := <-got; lost.err == nil {
			t.Fatalf("got %d, want no answer", lost.status)
		}
		assertNext(t, service, 0)
	})
	t.Run("unknown mode", func(t *testing.T) {
		_, url := start(t)
		assertAnswer(t, ask(t, "POST", url+"/admin/faults", `{"mode":"odd"}`), 400, "")
	})
}

func assertNext(t *testing.T, service *log.Service, want uint64) {
	t.Helper()
	if got := service.Stats().Streams["pineturn"].Next; got != want {
		data, _ := json.Marshal(service.Stats())
		t.Fatalf("got next %d, want %d: %s", got, want, data)
	}
}
