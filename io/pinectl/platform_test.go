package pinectl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pineturn/core/dump"
	"pineturn/core/placement"
)

// newPlatformHost starts a server that returns the state of a host, and returns its
// URL.
func newPlatformHost(t *testing.T) string {
	t.Helper()
	state := dump.State{
		Host: "edge-1", Incarnation: "ab12", Ready: true, Leader: "edge-2", Epoch: 7, AgesS: map[string]float64{"owners": 0.25},
		Targets: []placement.State{{Entry: placement.Entry{ID: "i-1", Service: "records", Slots: 2, Draining: true}, RelativeProcessingTime: 1.5}},
		Keys: map[string][]dump.Range{"records": {
			{First: 0, Last: 99, Owner: "i-1"}, {First: 100, Last: 65535, Owner: "i-2", Former: []string{"i-1"}},
		}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(state) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func TestPlatform(t *testing.T) {
	server := newPlatformHost(t)
	for _, c := range []struct {
		args   string
		status int
		want   string
	}{
		{"state", StatusOK, "edge-2 (epoch 7)"},
		{"targets", StatusOK, "leaves"},
		{"keys", StatusOK, "65535"},
		{"keys other", StatusOK, "SERVICE"},
		{"moves", StatusOK, "i-2"},
		{"key records 100", StatusOK, "100 to 65535"},
		{"key other 100", StatusFailed, "no owner"},
		{"key records x", StatusUsage, "want a number"},
	} {
		t.Run(c.args, func(t *testing.T) {
			wantOutput(t, append([]string{"pinectl", "--server", server, "platform"}, strings.Fields(c.args)...), c.status, c.want)
		})
	}
	t.Run("no server", func(t *testing.T) {
		wantOutput(t, []string{"pinectl", "platform", "state"}, StatusUsage, "admin port")
	})
	t.Run("server is down", func(t *testing.T) {
		wantOutput(t, []string{"pinectl", "--server", "http://127.0.0.1:1", "platform", "state"}, StatusUnavailable, "query http://127.0.0.1:1")
	})
}

// wantOutput checks the exit status of a run and that want occurs in its standard
// output or standard error.
func wantOutput(t *testing.T, args []string, status int, want string) {
	t.Helper()
	t.Setenv("PINETURN_SERVER", "")
	var out bytes.Buffer
	if got := Run(t.Context(), args, strings.NewReader(""), &out, &out); got != status {
		t.Errorf("status: got %d, want %d", got, status)
	}
	if got := out.String(); !strings.Contains(got, want) {
		t.Errorf("output: got %q, want one with %q", got, want)
	}
}
