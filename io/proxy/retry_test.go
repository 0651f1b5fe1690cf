package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"pineturn/core/attempt"
	"pineturn/core/budget"
	"pineturn/core/placement"
	"pineturn/core/routing"
	"pineturn/io/socket/sockettest"
)

// newTestTarget runs a target of testService that handles requests, and adds it to a proxy.
func newTestTarget(t testing.TB, p *Proxy, id string, handler http.HandlerFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	p.targets.Put(placement.Entry{ID: id, Service: testService, Address: l.Addr().String(), Domain: "a", Slots: 4}, p.clock.Now())
}

// newRawTarget runs a target of testService that handles connections, and adds it to a proxy.
func newRawTarget(t testing.TB, p *Proxy, handle func(net.Conn)) {
	t.Helper()
	address := sockettest.Serve(t, handle)
	p.targets.Put(placement.Entry{ID: "t1", Service: testService, Address: address, Domain: "a", Slots: 4}, p.clock.Now())
}

// respond returns a handler that responds with a status and a signed body.
func respond(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "signed")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "body")
	}
}

// setBudget replaces the budget of a proxy by one of n retries.
func setBudget(p *Proxy, n float64) {
	// A little more than n is needed, as not all of the limit is used.
	p.budget = budget.New(0, 1.1*n, 10*time.Second, oneHost(p.clock.Now()))
}

// assertRetriesLeft checks how many retries the budget of a proxy has.
func assertRetriesLeft(t *testing.T, p *Proxy, want int) {
	t.Helper()
	got := 0
	for p.budget.Spend(testService, p.clock.Now()) {
		got++
	}
	if got != want {
		t.Errorf("retries left: got %d, want %d", got, want)
	}
}

// TestUnsentRetry guards against a retry budget that is used up by retries for which there
// was no target.
func TestUnsentRetry(t *testing.T) {
	p := newTestProxy(7)
	setBudget(p, 1)
	newTestTarget(t, p, "t1", respond(http.StatusInternalServerError))
	assertStatus(t, get(p.Handler(), "/read/1", nil), http.StatusBadGateway)
	assertRetriesLeft(t, p, 1)
}

// TestSentRetry guards against retries that are not counted.
func TestSentRetry(t *testing.T) {
	p := newTestProxy(7)
	setBudget(p, 1)
	newTestTarget(t, p, "t1", respond(http.StatusInternalServerError))
	newTestTarget(t, p, "t2", respond(http.StatusInternalServerError))
	assertStatus(t, get(p.Handler(), "/read/1", nil), http.StatusInternalServerError)
	assertRetriesLeft(t, p, 0)
}

// TestAbandonedRequestIsDiscarded guards against requests that reach their target seconds
// after the host has given them up: the kernel behind a network partition must not go on to
// deliver them.
func TestAbandonedRequestIsDiscarded(t *testing.T) {
	address, closed := sockettest.ServeSilent(t)
	p := newTestProxy(7)
	p.targets.Put(placement.Entry{ID: "t1", Service: testService, Address: address, Domain: "a", Slots: 4}, p.clock.Now())
	assertStatus(t, get(p.Handler(), "/write/1", http.Header{"X-Deadline-Ms": {"100"}}), http.StatusGatewayTimeout)
	if err := <-closed; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of the connection at the target: got %v, want %v", err, syscall.ECONNRESET)
	}
}

// TestOtherTargetAtAddress guards against requests that go on to a target whose address has another one.
func TestOtherTargetAtAddress(t *testing.T) {
	p := newTestProxy(7)
	refused := 0
	newTestTarget(t, p, "t1", func(w http.ResponseWriter, _ *http.Request) {
		refused++
		w.Header().Set("X-Instance-Id", "other")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	newTestTarget(t, p, "t2", respond(http.StatusOK))
	for range 20 {
		assertStatus(t, get(p.Handler(), "/write/1", nil), http.StatusOK)
	}
	if refused > 1 {
		t.Errorf("requests that another target has refused: got %d, want 1 at most", refused)
	}
}

// TestRetryReturnedTwice guards against a retry budget from which more is sent than it has, as a retry that was not
// sent is returned twice.
func TestRetryReturnedTwice(t *testing.T) {
	p := newTestProxy(7)
	setBudget(p, 2)
	q := &request{match: routing.Match{Service: routing.Service{Name: testService}, Route: &routing.Route{Idempotent: true, MaxAttempts: 2}}}
	for range 2 {
		if !p.mayRetry(t.Context(), q, attempt.Unknown) {
			t.Fatal("retry: got none, want one of 2")
		}
	}
	for range 2 {
		p.returnRetry(q)
	}
	assertRetriesLeft(t, p, 1)
}
