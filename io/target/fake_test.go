package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pineturn/core/config"
	"pineturn/core/header"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/route"
	"pineturn/core/shard"
)

// testClock is the system clock plus an offset that a test can increase.
type testClock struct {
	mutex  sync.Mutex
	offset time.Duration
}

func (c *testClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Now().Add(c.offset)
}

func (c *testClock) advance(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.offset += d
}

// fakeTarget is a target whose responses a test writes to the raw connections.
type fakeTarget struct {
	address string
	// respond responds to a request and returns whether to keep the connection
	// open.
	respond func(conn net.Conn, req *http.Request) (keep bool)

	mutex sync.Mutex
	// received is the number of requests received, by request id.
	received map[string]int
	// connections is the number of accepted connections.
	connections int
}

func startTarget(t *testing.T, respond func(conn net.Conn, req *http.Request) bool) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	fake := &fakeTarget{address: listener.Addr().String(), respond: respond, received: make(map[string]int)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go fake.serve(conn)
		}
	}()
	return fake
}

func (f *fakeTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	f.mutex.Lock()
	f.connections++
	f.mutex.Unlock()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		f.mutex.Lock()
		f.received[req.Header.Get(header.RequestID)]++
		f.mutex.Unlock()
		if !f.respond(conn, req) {
			return
		}
	}
}

func (f *fakeTarget) count(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.received[id]
}

// writeResponse writes a response with the request's id and returns whether the write
// succeeded. Each line of fields ends in CRLF.
func writeResponse(conn net.Conn, req *http.Request, status, fields, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s\r\n%s", status, header.RequestID, req.Header.Get(header.RequestID), fields, body)
	return err == nil
}

func respondOK(conn net.Conn, req *http.Request) bool {
	return writeResponse(conn, req, "200 OK", "Content-Length: 2\r\n", "ok")
}

type fixture struct {
	clock  *testClock
	client *Client
	target *fakeTarget
}

func newFixture(t *testing.T, respond func(net.Conn, *http.Request) bool) *fixture {
	t.Helper()
	source := &testClock{}
	client := New(source, Options{RequestConnections: 1})
	t.Cleanup(client.Close)
	return &fixture{clock: source, client: client, target: startTarget(t, respond)}
}

func (f *fixture) permit() route.Permit {
	now := f.clock.Now()
	return route.Permit{
		Address: f.target.address, Incarnation: "f3a9", Epoch: 5, Token: 7,
		Until: now.Add(time.Minute), ClockUs: 1_000_000, ClockAt: now,
	}
}

func newRequest(id, method string) *message.Request {
	return &message.Request{
		ID: id, Shard: shard.ID{Service: "payoutledger", Group: "all", Index: 3}, Key: "tenant-1",
		Method: method, Path: "/claims?x=1", Left: 30 * time.Second,
	}
}

func (f *fixture) send(req *message.Request) (*message.Response, *outcome.Error) {
	return f.client.Send(context.Background(), f.permit(), new(config.Target), req, false)
}

func checkFailure(t *testing.T, got *outcome.Error, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	if got == nil {
		t.Fatalf("got a response, want %v %v", want, reason)
	}
	if got.Outcome != want || got.Reason != reason {
		t.Errorf("got %v, want %v %v", got, want, reason)
	}
}

func checkBody(t *testing.T, response *message.Response, failure *outcome.Error, want string, wantErr error) {
	t.Helper()
	if failure != nil {
		t.Fatalf("got %v, want a response", failure)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if string(body) != want || !errors.Is(err, wantErr) {
		t.Errorf("got body %q, error %v, want %q, %v", body, err, want, wantErr)
	}
}
