package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pineturn/core/record"
)

// serve answers one request of a server that accepts every change.
func serve(t *testing.T, authorize func(*http.Request) error, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	server := Server{Authorize: authorize, Commands: Commands{
		Submit: func(_ context.Context, ops []record.Op) ([]Result, uint64, error) {
			return []Result{{Accepted: true}}, uint64(len(ops)), nil
		},
	}}
	answer := httptest.NewRecorder()
	server.Handler().ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
	return answer
}

func anyone(*http.Request) error { return nil }

func TestServerStatuses(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		authorize                func(*http.Request) error
		want                     int
	}{
		{"no authorization", "GET", pathState, "", nil, http.StatusUnauthorized},
		{"accepted", "POST", pathFiles, `{"changes": [{"name": "a.yaml", "expect": 0}]}`, anyone, http.StatusOK},
		{"unknown path", "GET", "/operator/v1/nothing", "", anyone, http.StatusNotFound},
		{"unknown field", "POST", pathFiles, `{"chnges": []}`, anyone, http.StatusBadRequest},
		{"no change", "POST", pathFiles, `{"changes": []}`, anyone, http.StatusBadRequest},
		{"two orders", "POST", pathFiles, `{"changes": [{"name": "a.yaml"}]} {}`, anyone, http.StatusBadRequest},
		{"unsafe name", "POST", pathFiles, `{"changes": [{"name": "../a.yaml"}]}`, anyone, http.StatusUnprocessableEntity},
		{"body too large", "POST", pathFiles, `{"author": "` + strings.Repeat("a", maxCommand) + `"}`, anyone, http.StatusBadRequest},
		{"change too large", "POST", pathFiles, `{"changes": [{"name": "a.yaml", "content": "` + strings.Repeat("AAAA", maxChange/3+1) + `"}]}`, anyone, http.StatusUnprocessableEntity},
		{"not confirmed", "POST", pathReset, `{}`, anyone, http.StatusBadRequest},
		{"wrong limit", "GET", pathHistory + "?limit=0", "", anyone, http.StatusBadRequest},
		{"not filled", "GET", pathState, "", anyone, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer := serve(t, test.authorize, test.method, test.path, test.body)
			if answer.Code != test.want {
				t.Errorf("got %d %s, want %d", answer.Code, answer.Body, test.want)
			}
		})
	}
}
