package hostlist_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/io/standin/hostlist"
)

// assertNames asserts the names of the hosts on the visible list.
func assertNames(t *testing.T, service http.Handler, want ...string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	service.ServeHTTP(recorder, httptest.NewRequest("GET", "/v1/hosts", nil))
	var list hostlist.List
	if err := json.Unmarshal(recorder.Body.Bytes(), &list); err != nil {
		t.Fatal(err)
	}
	got := []string{}
	for _, host := range list.Hosts {
		got = append(got, host.Name)
	}
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// putHosts sends a list and asserts the status of the response.
func putHosts(t *testing.T, service http.Handler, body string, want int) {
	t.Helper()
	recorder := httptest.NewRecorder()
	service.ServeHTTP(recorder, httptest.NewRequest("PUT", "/admin/hosts", strings.NewReader(body)))
	if recorder.Code != want {
		t.Fatalf("got %d, want %d", recorder.Code, want)
	}
}

// Guards against a change of the list that is hidden or delayed by a later one: two
// changes are set 1 s apart with a lag of 2 s. Each must become visible one lag after it
// was set. If only the latest were kept, it would hide or delay the first.
func TestLag(t *testing.T) {
	now := clock.NewFake(time.Unix(0, 0))
	service := hostlist.New(hostlist.WithClock(now), hostlist.WithLag(2*time.Second),
		hostlist.WithHosts([]hostlist.Host{{Name: "host-1", State: "live"}}))
	assertNames(t, service, "host-1")
	putHosts(t, service, `{"hosts":[{"name":"host-2"}]}`, http.StatusNoContent)
	now.Advance(time.Second)
	putHosts(t, service, `{"hosts":[{"name":"host-3"}]}`, http.StatusNoContent)
	assertNames(t, service, "host-1")
	now.Advance(time.Second)
	assertNames(t, service, "host-2")
	now.Advance(time.Second)
	assertNames(t, service, "host-3")
	putHosts(t, service, `{`, http.StatusBadRequest)
}
