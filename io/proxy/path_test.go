package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pineturn/core/routing"
)

// TestPathsWithTwoSlashes guards against a target that gets another path than the caller sent: one that
// begins with two slashes would be taken for a host.
func TestPathsWithTwoSlashes(t *testing.T) {
	for path, want := range map[string]int{
		"/a//b": 200, "//": 200, "//a/b": 200, "//a%2Fb/?x=//y": 200, "///": 200, "//a?": 200, "//a[b": 200, "//a^b": 400,
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", path, relayed), func(t *testing.T) {
				got := ""
				p := newTestProxy(7)
				newTestTarget(t, p, "t1", func(w http.ResponseWriter, r *http.Request) {
					got = r.RequestURI
					respond(http.StatusOK)(w, r)
				})
				setRoute(p, func(r *routing.Route) { r.Prefix = "/" })
				p.catalog.(*testCatalog).table = routing.NewTable(p.catalog.Table().Config())
				if relayed {
					server := httptest.NewServer(p.RelayHandler())
					t.Cleanup(server.Close)
					ingress := newTestProxy(7, holderAt(server))
					ingress.catalog, ingress.Dispatches = p.catalog, func() bool { return true }
					p = ingress
				}
				server := httptest.NewServer(p.Handler())
				t.Cleanup(server.Close)
				conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = conn.Close() })
				_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r1\r\nConnection: close\r\n\r\n", path, testHost)
				line := make([]byte, 12)
				if _, err := conn.Read(line); err != nil {
					t.Fatal(err)
				}
				if got := string(line); got != fmt.Sprintf("HTTP/1.1 %d", want) {
					t.Errorf("status line: got %q, want %d", got, want)
				}
				if want == http.StatusOK && got != path {
					t.Errorf("path at the target: got %q, want %q", got, path)
				}
			})
		}
	}
}
