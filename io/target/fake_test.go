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

// testClock is a clock that a test may move forward at any moment.
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

// fakeTarget accepts raw connections and lets a test answer each request. It
// counts the requests that it read by id.
type fakeTarget struct {
	address string
	answer  func(conn net.Conn, req *http.Request) (keep bool)

	mutex       sync.Mutex
	seen        map[string]int
	connections int
}

func startTarget(t *testing.T, answer func(conn net.Conn, req *http.Request) bool) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	fake := &fakeTarget{address: listener.Addr().String(), answer: answer, seen: make(map[string]int)}
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
		f.seen[req.Header.Get(header.RequestID)]++
		f.mutex.Unlock()
		if !f.answer(conn, req) {
			return
		}
	}
}

func (f *fakeTarget) count(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.seen[id]
}

func write(conn net.Conn, req *http.Request, status, fields, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s\r\n%s", status, header.RequestID, req.Header.Get(header.RequestID), fields, body)
	return err == nil
}

func answerOK(conn net.Conn, req *http.Request) bool {
	return write(conn, req, "200 OK", "Content-Length: 2\r\n", "ok")
}

type fixture struct {
	clock  *testClock
	client *Client
	target *fakeTarget
}

func newFixture(t *testing.T, answer func(net.Conn, *http.Request) bool) *fixture {
	t.Helper()
	source := &testClock{}
	client := New(source, Options{RequestConnections: 1})
	t.Cleanup(client.Close)
	return &fixture{clock: source, client: client, target: startTarget(t, answer)}
}

func (f *fixture) permit() route.Permit {
	now := f.clock.Now()
	return route.Permit{
		Address: f.target.address, Incarnation: "f3a9", Epoch: 5, Term: 7,
		Until: now.Add(time.Minute), ClockUs: 1_000_000, ClockAt: now,
	}
}

func newRequest(id, method string) *message.Request {
	return &message.Request{
		ID: id, Shard: shard.ID{Service: "payoutledger", Group: "all", Index: 3}, Key: "tenant-1",
		Method: method, Path: "/claims?x=1", Left: 30 * time.Second,
	}
}

func (f *fixture) send(req *message.Request) (*message.Answer, *outcome.Error) {
	return f.client.Send(context.Background(), f.permit(), new(config.Target), req, false)
}

func checkFailure(t *testing.T, got *outcome.Error, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	if got == nil {
		t.Fatalf("got an answer, want %v %v", want, reason)
	}
	if got.Outcome != want || got.Reason != reason {
		t.Errorf("got %v, want %v %v", got, want, reason)
	}
}

func checkBody(t *testing.T, answer *message.Answer, failure *outcome.Error, want string, wantErr error) {
	t.Helper()
	if failure != nil {
		t.Fatalf("got %v, want an answer", failure)
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if string(body) != want || !errors.Is(err, wantErr) {
		t.Errorf("got body %q, error %v, want %q, %v", body, err, want, wantErr)
	}
}
