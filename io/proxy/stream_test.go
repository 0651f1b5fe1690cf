package proxy

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"pineturn/core/peers"
)

// newEcho runs a target that responds with the body of the request, signed. Its proxy has a
// path to it, and is served as another host.
func newEcho(t *testing.T) (p *Proxy, host peers.Host) {
	t.Helper()
	p = newTestProxy(7)
	newTestTarget(t, p, "t1", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			t.Errorf("body at the target: got error %v after %d bytes", err, len(data))
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "signed")
		_, _ = w.Write(data)
	})
	server := httptest.NewServer(p.RelayHandler())
	t.Cleanup(server.Close)
	return p, peers.Host{Address: strings.TrimPrefix(server.URL, "http://"), Domain: "a", Incarnation: "a"}
}

// post sends a body to a server, with its length or in chunks.
func post(t *testing.T, url string, body []byte, chunked bool) (status int, got []byte, err error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/write/1", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.ContentLength = int64(len(body))
	if chunked {
		r.ContentLength = -1
	}
	r.Header.Set("X-Request-Id", "r1")
	r.Header.Set("X-Deadline-Ms", "900")
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err = io.ReadAll(resp.Body)
	return resp.StatusCode, got, err
}

// TestRelayedBodies guards against bodies that are cut or changed on the way over another
// host, of sizes below and above those from which they are streamed.
func TestRelayedBodies(t *testing.T) {
	_, host := newEcho(t)
	p := newTestProxy(7, host)
	detach(p)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	for _, size := range []int{0, 1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 4 * maxBufferedBody} {
		for _, chunked := range []bool{false, true} {
			t.Run(strconv.Itoa(size)+" bytes, chunked "+strconv.FormatBool(chunked), func(t *testing.T) {
				want := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
				status, got, err := post(t, server.URL, want, chunked)
				if err != nil || status != http.StatusOK || !bytes.Equal(got, want) {
					t.Errorf("got status %d, %d bytes, error %v, want 200 with the %d bytes sent", status, len(got), err, size)
				}
			})
		}
	}
}

// TestRelayedStreamRefused guards against a streamed request that is sent again without
// the part of its body that a first host has been sent, or that gets no response.
func TestRelayedStreamRefused(t *testing.T) {
	first, firstHost := newEcho(t)
	_, secondHost := newEcho(t)
	secondHost.Domain = "b"
	detach(first)
	p := newTestProxy(7, firstHost, secondHost)
	detach(p)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	status, _, err := post(t, server.URL, make([]byte, 16*maxBufferedBody), false)
	if err != nil || status != http.StatusServiceUnavailable && status != http.StatusBadGateway {
		t.Errorf("got status %d, error %v, want 503 or 502", status, err)
	}
}

// TestRelayedKeyThenDirect guards against a request with a key that can't reach the owner of
// the key because another host has sent it there before: no other target may run it.
func TestRelayedKeyThenDirect(t *testing.T) {
	failing := newPeer(t, "a", http.StatusBadGateway, relayFailed)
	p, _ := newKeyedProxy(t, 7, respond(http.StatusOK), failing.Host)
	p.OwnerQueue = func() bool { return false }
	detach(p)
	assertStatus(t, get(p.Handler(), "/read/1", keyed(nil)), http.StatusOK)
	assertReceived(t, failing, 1)
}

// TestRelayHeadersOfTarget guards against a target whose response changes what the relaying
// host is told of the request.
func TestRelayHeadersOfTarget(t *testing.T) {
	p := newTestProxy(7)
	newTestTarget(t, p, "t1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "signed")
		w.Header().Set(headerRelayOutcome, string(relayRefused))
		w.Header().Set(headerRelaySends, "0")
	})
	w := get(p.RelayHandler(), "/write/1", http.Header{headerRelayVersion: {"7"}, headerRelaySends: {"0"}, headerRelayService: {testService}})
	for name, want := range map[string]string{headerRelayOutcome: string(relayResponded), headerRelaySends: "1", headerRelayTarget: "t1"} {
		if got := w.Header().Values(name); len(got) != 1 || got[0] != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}
