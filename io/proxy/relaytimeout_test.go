package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pineturn/core/routing"
)

// assertTimedOut sends a request through a host and checks how that host reports it.
func assertTimedOut(t *testing.T, ingress *Proxy, path string, header http.Header) {
	t.Helper()
	var record RequestRecord
	ingress.HandleRecord = func(r RequestRecord) { record = r }
	assertStatus(t, get(ingress.Handler(), path, header), http.StatusGatewayTimeout)
	if got := record.Reason; got != reasonTimeout {
		t.Errorf("reason: got %q, want %q", got, reasonTimeout)
	}
}

// TestTimeoutAtOtherHostReportedAsLostAnswer guards against requests whose time ends at the host that they
// were relayed to, a little before it ends here, and that look as if their responses had been lost.
func TestTimeoutAtOtherHostReportedAsLostAnswer(t *testing.T) {
	shorten := func(p *Proxy) { setRoute(p, func(r *routing.Route) { r.Timeout = 300 * time.Millisecond }) }
	t.Run("holder of the queue", func(t *testing.T) {
		holder, _ := newKeyedProxy(t, 7, hang)
		ingress, direct := relayTo(t, holder)
		shorten(ingress)
		assertTimedOut(t, ingress, "/read/1", keyed(patient))
		assertCount(t, "requests sent directly", direct, 0)
	})
	t.Run("dispatcher", func(t *testing.T) {
		dispatcher := newTestProxy(7)
		newTestTarget(t, dispatcher, "t1", hang)
		server := httptest.NewServer(dispatcher.RelayHandler())
		t.Cleanup(server.Close)
		ingress := newTestProxy(7, holderAt(server))
		ingress.Dispatches = func() bool { return true }
		shorten(ingress)
		assertTimedOut(t, ingress, "/read/1", patient)
	})
	t.Run("request that may not run twice, shorter timeout there", func(t *testing.T) {
		holder := newPeer(t, "a", http.StatusGatewayTimeout, relayFailed)
		ingress, direct := newKeyedProxy(t, 7, respond(http.StatusOK), holding(holder.Host))
		assertTimedOut(t, ingress, "/write/1", keyed(nil))
		assertCount(t, "requests sent directly", direct, 0)
	})
	t.Run("time is left for a retry", func(t *testing.T) {
		holder := newPeer(t, "a", http.StatusGatewayTimeout, relayFailed)
		ingress, direct := newKeyedProxy(t, 7, respond(http.StatusOK), holding(holder.Host))
		assertStatus(t, get(ingress.Handler(), "/read/1", keyed(nil)), http.StatusOK)
		assertCount(t, "requests sent directly", direct, 1)
	})
}
