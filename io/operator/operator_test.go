package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pineturn/core/record"
)

// serve sends one request to a server that accepts every change.
func serve(t *testing.T, authorize func(*http.Request) error, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	server := Server{Authorize: authorize, Commands: Commands{
		Submit: func(_ context.Context, ops []record.Op) ([]Result, uint64, error) {
			return []Result{{Accepted: true}}, uint64(len(ops)), nil
		},
	}}
	response := httptest.NewRecorder()
	server.Handler().ServeHTTP(response, httptest.NewRequest(method, path, strings.NewReader(body)))
	return response
}

func allowAll(*http.Request) error { return nil }

func TestServerStatuses(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		authorize                func(*http.Request) error
		want                     int
	}{
		{"no authorization", "GET", pathState, "", nil, http.StatusUnauthorized},
		{"accepted", "POST", pathFiles, `{"changes": [{"name": "a.yaml", "expect": 0}]}`, allowAll, http.StatusOK},
		{"unknown path", "GET", "/operator/v1/nothing", "", allowAll, http.StatusNotFound},
		{"unknown field", "POST", pathFiles, `{"chnges": []}`, allowAll, http.StatusBadRequest},
		{"no change", "POST", pathFiles, `{"changes": []}`, allowAll, http.StatusBadRequest},
		{"two commands", "POST", pathFiles, `{"changes": [{"name": "a.yaml"}]} {}`, allowAll, http.StatusBadRequest},
		{"unsafe name", "POST", pathFiles, `{"changes": [{"name": "../a.yaml"}]}`, allowAll, http.StatusUnprocessableEntity},
		{"body too large", "POST", pathFiles, `{"author": "` + strings.Repeat("a", maxCommandSize) + `"}`, allowAll, http.StatusBadRequest},
		{"change too large", "POST", pathFiles, `{"changes": [{"name": "a.yaml", "content": "` + strings.Repeat("AAAA", maxChangeSize/3+1) + `"}]}`, allowAll, http.StatusUnprocessableEntity},
		{"not confirmed", "POST", pathReset, `{}`, allowAll, http.StatusBadRequest},
		{"invalid limit", "GET", pathHistory + "?limit=0", "", allowAll, http.StatusBadRequest},
		{"query not provided", "GET", pathState, "", allowAll, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response := serve(t, test.authorize, test.method, test.path, test.body)
			if response.Code != test.want {
				t.Errorf("got %d %s, want %d", response.Code, response.Body, test.want)
			}
		})
	}
}
