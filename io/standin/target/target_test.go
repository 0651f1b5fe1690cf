package target_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/core/audit"
	"pineturn/io/standin/target"
)

// fixture is a target behind an HTTP server, with the audit that it writes.
type fixture struct {
	*testing.T
	target *target.Target
	url    string
	audit  *syncBuffer
}

// syncBuffer is a bytes.Buffer that several goroutines may write to.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func start(t *testing.T, options ...target.Option) *fixture {
	t.Helper()
	f := &fixture{T: t, audit: &syncBuffer{}}
	options = append([]target.Option{target.WithName("payoutledger", "t1"), target.WithAudit(f.audit)}, options...)
	f.target = target.New(options...)
	server := httptest.NewUnstartedServer(f.target)
	server.Listener = f.target.Listener(server.Listener)
	server.Start()
	f.url = server.URL
	t.Cleanup(func() {
		f.target.Close()
		server.Close()
	})
	return f
}

// send sends a request and returns the response and its body without
// surrounding white space.
func (f *fixture) send(method, path, body string, header map[string]string) (*http.Response, string, error) {
	f.Helper()
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, strings.TrimSpace(string(data)), err
}

// postAdmin sends an admin request and asserts that it succeeds.
func (f *fixture) postAdmin(path, body string) {
	f.Helper()
	response, text, err := f.send("POST", path, body, nil)
	if err != nil || response.StatusCode != http.StatusNoContent {
		f.Fatalf("got %v %s, want %d", err, text, http.StatusNoContent)
	}
}

func (f *fixture) status() target.Status {
	f.Helper()
	_, body, err := f.send("GET", "/pineturn/v1/clock", "", nil)
	var status target.Status
	if err == nil {
		err = json.Unmarshal([]byte(body), &status)
	}
	if err != nil {
		f.Fatal(err)
	}
	return status
}

// clockAfter returns the target's clock d from now, in microseconds.
func (f *fixture) clockAfter(d time.Duration) int64 {
	return f.status().ClockUs + d.Microseconds()
}

const shards = `"shards":[{"shard":{"service":"payoutledger","group":"all","index":1},"epoch":5,"except":["hot"]}]`

// sendOrder sends an order with the given fields and asserts the reason of its
// refusal, empty for an accepted order. It expires at expires microseconds of
// the target's clock; rest is the JSON text of further fields.
func (f *fixture) sendOrder(term, set int, expires int64, rest, want string) {
	f.Helper()
	body := fmt.Sprintf(`{"incarnation":%q,"term":%d,"holder":"h#1","set":%d,"expires_us":%d,%s}`,
		f.target.Incarnation(), term, set, expires, rest)
	_, got, err := f.send("PUT", "/pineturn/v1/grant", body, nil)
	var response struct{ Error string }
	if err == nil {
		err = json.Unmarshal([]byte(got), &response)
	}
	if err != nil || response.Error != want {
		f.Fatalf("got %q, %v, want %q", response.Error, err, want)
	}
}

func (f *fixture) headers(extra ...string) map[string]string {
	header := map[string]string{
		"Pineturn-Request-Id": "r1", "Pineturn-Key": "k", "Pineturn-Shard": "payoutledger/all/1",
		"Pineturn-Epoch": "5", "Pineturn-Term": "7", "Pineturn-Incarnation": f.target.Incarnation(),
	}
	for i := 0; i < len(extra); i += 2 {
		header[extra[i]] = extra[i+1]
	}
	return header
}

// assertRefused asserts that a request is refused with outcome not-run.
func (f *fixture) assertRefused(header map[string]string, status int, reason string) {
	f.Helper()
	response, _, err := f.send("POST", "/pay", "", header)
	if err != nil {
		f.Fatal(err)
	}
	outcome, got := response.Header.Get("Pineturn-Outcome"), response.Header.Get("Pineturn-Reason")
	if response.StatusCode != status || outcome != "not-run" || got != reason {
		f.Fatalf("got %d %s %s, want %d not-run %s", response.StatusCode, outcome, got, status, reason)
	}
}

func (f *fixture) assertDone(path string) target.Response {
	f.Helper()
	_, body, err := f.send("POST", path, "body", f.headers())
	var response target.Response
	if err == nil {
		err = json.Unmarshal([]byte(strings.SplitN(body, "\n", 2)[0]), &response)
	}
	if err != nil {
		f.Fatalf("got %v %q, want a response", err, body)
	}
	return response
}

// waitForEntry returns the first audit entry of a kind. It fails the test if
// there is none after 30 s.
func (f *fixture) waitForEntry(kind audit.Kind) audit.Entry {
	f.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		f.audit.mu.Lock()
		lines := bufio.NewScanner(bytes.NewReader(bytes.Clone(f.audit.buf.Bytes())))
		f.audit.mu.Unlock()
		for lines.Scan() {
			var entry audit.Entry
			if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
				f.Fatal(err)
			}
			if entry.Kind == kind {
				return entry
			}
		}
	}
	f.Fatalf("got no %s entry in the audit, want one", kind)
	return audit.Entry{}
}

// Guards against a target that accepts an order which is expired, renews an unknown
// set or names another incarnation, and against a checked target that accepts a
// lower term. An unchecked target accepts it. The audit lists the released shard.
func TestGrants(t *testing.T) {
	for _, checked := range []bool{true, false} {
		t.Run(fmt.Sprintf("checked %t", checked), func(t *testing.T) {
			f := start(t, target.WithChecked(checked))
			staleTerm := map[bool]string{true: "stale-term"}[checked]
			f.sendOrder(7, 1, 1, shards, "expired")
			f.sendOrder(7, 1, f.clockAfter(time.Minute), `"renew":true`, "unknown-set")
			f.sendOrder(7, 1, f.clockAfter(time.Minute), shards, "")
			f.sendOrder(7, 1, f.clockAfter(time.Minute), `"renew":true`, "")
			f.sendOrder(7, 2, f.clockAfter(time.Minute), `"renew":true`, "unknown-set")
			f.sendOrder(6, 2, f.clockAfter(time.Minute), shards, staleTerm)
			_, body, _ := f.send("PUT", "/pineturn/v1/grant", `{"incarnation":"x"}`, nil)
			if !strings.Contains(body, "wrong-incarnation") {
				t.Fatalf("got %s, want wrong-incarnation", body)
			}
			f.sendOrder(8, 3, f.clockAfter(time.Minute), `"shards":[]`, "")
			if got := f.waitForEntry(audit.Released).Grant.Shards; len(got) != 1 || got[0].Epoch != 5 {
				t.Fatalf("got released %v, want the shard at epoch 5", got)
			}
		})
	}
}

// Guards against an audit entry with the time at which the target detects the expiry
// of its grant, which is late. The audit would show an ownership that is too long
// and may overlap with that of the next owner.
func TestExpiryTimeInAudit(t *testing.T) {
	f := start(t)
	expires := f.clockAfter(20 * time.Millisecond)
	f.sendOrder(7, 1, expires, shards, "")
	time.Sleep(30 * time.Millisecond)
	if got := f.status().SetVersion; got != 0 {
		t.Fatalf("got set %d, want none", got)
	}
	if got := f.waitForEntry(audit.Expired).ClockUs; got != expires {
		t.Fatalf("got expired at %d, want %d", got, expires)
	}
}

// Guards against a checked target that runs a request for a key, epoch, term or
// incarnation that it doesn't own, after its deadline, with a malformed one or while
// it sheds. Each refusal states not-run and its reason.
func TestRequests(t *testing.T) {
	f := start(t, target.WithChecked(true))
	f.assertRefused(f.headers(), 409, "not-owner")
	f.sendOrder(7, 1, f.clockAfter(time.Hour), shards, "")
	if first, second := f.assertDone("/pay").Run, f.assertDone("/pay").Run; first != 1 || second != 2 {
		t.Fatalf("got runs %d, %d, want 1, 2", first, second)
	}
	f.assertRefused(f.headers("Pineturn-Key", "hot"), 409, "not-owner")
	f.assertRefused(f.headers("Pineturn-Epoch", "4"), 409, "not-owner")
	f.assertRefused(f.headers("Pineturn-Term", "6"), 409, "stale-term")
	f.assertRefused(f.headers("Pineturn-Incarnation", "x"), 409, "wrong-incarnation")
	f.assertRefused(f.headers("Pineturn-Deadline", "1"), 504, "deadline-exceeded")
	f.assertRefused(f.headers("Pineturn-Deadline", "x"), 400, "bad-request")
	f.postAdmin("/admin/shed", `{"ms":60000}`)
	f.assertRefused(f.headers(), 503, "shed")
}

// Guards against a large response that differs from the body that Response.Body
// returns. Callers detect a truncated or mixed-up response by comparing the two, so
// every large response would count as wrong.
func TestLargeResponseIsComplete(t *testing.T) {
	f := start(t)
	f.sendOrder(7, 1, f.clockAfter(time.Hour), shards, "")
	_, body, err := f.send("GET", "/report?size=100000&ms=0", "", f.headers())
	if err != nil {
		t.Fatal(err)
	}
	var response target.Response
	if err := json.NewDecoder(strings.NewReader(body)).Decode(&response); err != nil {
		t.Fatal(err)
	}
	if want := strings.TrimSpace(string(response.Body())); body != want || response.Size != 100000 {
		t.Fatalf("got a body of %d bytes that differs, want the one of %d bytes", len(body), len(want))
	}
}

// assertCut asserts that a running request is cut for a reason after endRequest
// is called, without a complete response. It returns the end of the request by
// the target's clock, in microseconds.
func (f *fixture) assertCut(path string, header map[string]string, reason string, endRequest func()) int64 {
	f.Helper()
	failed := make(chan error, 1)
	go func() {
		_, _, err := f.send("POST", path, "", header) // the transport retries a GET
		failed <- err
	}()
	f.waitForEntry(audit.Began)
	endRequest()
	if err := <-failed; err == nil {
		f.Fatal("got a complete response, want a cut one")
	}
	ended := f.waitForEntry(audit.Ended).Request
	if ended.Completed || ended.Reason != reason {
		f.Fatalf("got completed %t %q, want cut for %q", ended.Completed, ended.Reason, reason)
	}
	return ended.EndUs
}

// Guards against a request that runs on after its deadline, after the release of the
// grant that it must end with or after the stop of the target, or that then gets a
// complete response.
func TestRunningRequestIsCut(t *testing.T) {
	t.Run("deadline", func(t *testing.T) {
		f := start(t)
		f.sendOrder(7, 1, f.clockAfter(time.Hour), shards, "")
		deadline := f.clockAfter(5 * time.Second)
		header := f.headers("Pineturn-Deadline", strconv.FormatInt(deadline, 10))
		if got := f.assertCut("/pay?ms=3600000", header, "deadline-exceeded", func() {}); got != deadline {
			t.Fatalf("got end %d, want %d", got, deadline)
		}
	})
	t.Run("grant released", func(t *testing.T) {
		f := start(t)
		f.sendOrder(7, 1, f.clockAfter(time.Hour), shards, "")
		f.assertCut("/pay?size=99999999&chunk_ms=1", f.headers("Pineturn-End-With-Grant", "1"), "lease-lost", func() {
			f.sendOrder(7, 2, f.clockAfter(time.Hour), `"shards":[]`, "")
		})
	})
	t.Run("stop", func(t *testing.T) {
		f := start(t)
		f.sendOrder(7, 1, f.clockAfter(time.Hour), shards, "")
		f.assertCut("/pay?ms=3600000", f.headers(), "stopped", f.target.Close)
	})
}

// Guards against a target that runs or queues more requests than it has room for:
// with one slot and a queue of one, the third request is refused as shed.
func TestSlotsAndQueue(t *testing.T) {
	f := start(t, target.WithSlots(1), target.WithQueue(1))
	f.sendOrder(7, 1, f.clockAfter(time.Hour), shards, "")
	var requests sync.WaitGroup
	for range 2 {
		requests.Go(func() { _, _, _ = f.send("GET", "/pay?ms=3600000", "", f.headers()) })
	}
	f.waitForEntry(audit.Began)
	for f.state().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	f.assertRefused(f.headers(), 503, "shed")
	if got := f.status(); got.InFlight != 1 || got.Slots != 1 {
		t.Fatalf("got %d requests in flight in %d slots, want 1 of 1", got.InFlight, got.Slots)
	}
	f.target.Close()
	requests.Wait()
}

func (f *fixture) state() target.State {
	f.Helper()
	_, body, err := f.send("GET", "/admin/state", "", nil)
	var state target.State
	if err == nil {
		err = json.Unmarshal([]byte(body), &state)
	}
	if err != nil {
		f.Fatal(err)
	}
	return state
}

// Guards against a reported health that ignores the load lag or the override, and
// against a draining target that doesn't refuse requests: a drain begins with a lag
// of 1 h, and with none.
func TestLoadLagAndReportOverride(t *testing.T) {
	f := start(t, target.WithLoadLag(time.Hour))
	f.postAdmin("/admin/drain", "")
	f.waitForEntry(audit.DrainBegan)
	if got := f.status().Health; got != "ok" {
		t.Fatalf("got %s, want ok due to the load lag", got)
	}
	f = start(t, target.WithDrainRefuse(0))
	f.sendOrder(7, 1, f.clockAfter(time.Hour), shards, "")
	f.postAdmin("/admin/drain", "")
	if got := f.status().Health; got != "draining" {
		t.Fatalf("got %s, want draining", got)
	}
	f.assertRefused(f.headers(), 503, "draining")
	f.postAdmin("/admin/report", `{"healthy":true}`)
	if got := f.status().Health; got != "ok" {
		t.Fatalf("got %s, want ok due to the override", got)
	}
}

// Guards against a stand-in that accepts any number of connections, which would not
// show that a host exceeds the limit of a target.
func TestConnectionsAreLimited(t *testing.T) {
	f := start(t, target.WithConnections(1))
	first := &http.Client{Transport: &http.Transport{}}
	defer first.CloseIdleConnections()
	response, err := first.Get(f.url + "/pineturn/v1/clock")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	second := &http.Client{Transport: &http.Transport{}}
	if other, err := second.Get(f.url + "/pineturn/v1/clock"); err == nil {
		_ = other.Body.Close()
		t.Fatalf("got %d, want a closed connection", other.StatusCode)
	}
}
