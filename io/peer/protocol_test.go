package peer

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coder/websocket"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
)

// rawClient opens a connection and performs the client side of the handshake up
// to the client hello. The function change can modify the client hello.
func rawClient(t *testing.T, r *fixture, change func(hello, serverHello *frame)) *conn {
	t.Helper()
	ws, _, err := websocket.Dial(testContext(t), "ws://"+r.to.Address+Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ws.CloseNow() })
	options := Options{}.withDefaults()
	c := newConn(ws, &batchConn{traffic: new(trafficCounters)}, &options)
	serverHello, err := c.expect(testContext(t), kindHello)
	if err != nil {
		t.Fatal(err)
	}
	hello := newHello(memberFunc("host-1", 3)())
	hello.Plane = Requests
	if change != nil {
		change(hello, serverHello)
	}
	if err := c.writeFrame(testContext(t), hello); err != nil {
		t.Fatal(err)
	}
	return c
}

// assertClosed reads until the other side closes the connection and checks the
// close code.
func assertClosed(t *testing.T, c *conn, want websocket.StatusCode) {
	t.Helper()
	for {
		_, _, err := c.ws.Read(testContext(t))
		if err == nil {
			continue
		}
		if got := websocket.CloseStatus(err); got != want {
			t.Errorf("got close status %v (%v), want %v", got, err, want)
		}
		return
	}
}

// collectConnErrors returns a channel with the errors that a server reports for
// connections.
func collectConnErrors(r *fixture) chan error {
	connErrors := make(chan error, 10)
	r.server.OnConnError = func(_ string, err error) { connErrors <- err }
	return connErrors
}

// assertConnError checks that the server reported an error of type E.
func assertConnError[E error](t *testing.T, connErrors chan error) {
	t.Helper()
	var want E
	select {
	case err := <-connErrors:
		if !errors.As(err, &want) {
			t.Errorf("server: got error %v, want a %T", err, want)
		}
	case <-testContext(t).Done():
		t.Errorf("server: got no error, want a %T", want)
	}
}

func TestHandshakeRefused(t *testing.T) {
	r := newFixture(t, Options{})
	connErrors := collectConnErrors(r)
	t.Run("version", func(t *testing.T) {
		c := rawClient(t, r, func(f, _ *frame) { f.Hello.Version++ })
		assertClosed(t, c, statusVersion)
		assertConnError[*VersionMismatchError](t, connErrors)
	})
	t.Run("incarnation", func(t *testing.T) {
		c := rawClient(t, r, func(f, _ *frame) { f.Want = record.Incarnation{Host: "host-2", Run: 8} })
		assertClosed(t, c, statusIncarnation)
		assertConnError[*IncarnationMismatchError](t, connErrors)
	})
	t.Run("plane", func(t *testing.T) {
		c := rawClient(t, r, func(f, _ *frame) { f.Plane = 9 })
		assertClosed(t, c, websocket.StatusProtocolError)
		assertConnError[*BadFrameError](t, connErrors)
	})
}

func TestBadFrameClosesServerConn(t *testing.T) {
	r := newFixture(t, Options{MaxFrame: 1000})
	connErrors := collectConnErrors(r)
	request := &message.Request{ID: "r"}
	cases := map[string]struct {
		data []byte
		want websocket.StatusCode
	}{
		"not CBOR":     {[]byte{0xff}, websocket.StatusProtocolError},
		"unknown kind": {encoded(t, &frame{Kind: 200}), websocket.StatusProtocolError},
		"no content":   {encoded(t, &frame{Kind: kindCall}), websocket.StatusProtocolError},
		"no credit":    {encoded(t, &frame{Kind: kindRequest, Request: request}), websocket.StatusProtocolError},
		"wrong side":   {encoded(t, &frame{Kind: kindData, Last: true}), websocket.StatusProtocolError},
		"too large":    {make([]byte, 1002), websocket.StatusMessageTooBig},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := rawClient(t, r, nil)
			if _, err := c.expect(testContext(t), kindWelcome); err != nil {
				t.Fatal(err)
			}
			if err := c.ws.Write(testContext(t), messageType, test.data); err != nil {
				t.Fatal(err)
			}
			assertClosed(t, c, test.want)
			assertConnError[*BadFrameError](t, connErrors)
		})
	}
	assertPing(t, r, 1)
}

func encoded(t *testing.T, f *frame) []byte {
	t.Helper()
	buffer, err := encode(f)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(buffer.Bytes())
}

// startScriptedServer starts a server that runs the functions handshake and
// script on each connection.
func startScriptedServer(t *testing.T, handshake func(*conn) error, script func(*conn)) record.Member {
	t.Helper()
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			t.Error(err)
			return
		}
		options := Options{}.withDefaults()
		c := newConn(ws, &batchConn{traffic: new(trafficCounters)}, &options)
		if err := handshake(c); err == nil {
			script(c)
		}
		_ = ws.CloseNow()
	}))
	t.Cleanup(web.Close)
	to := memberFunc("host-2", 7)()
	to.Address = strings.TrimPrefix(web.URL, "http://")
	return to
}

func handshakeAsHost2(c *conn) error {
	return c.serverHandshake(context.Background(), memberFunc("host-2", 7)())
}

// newTestClient returns a client that is closed at the end of the test.
func newTestClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient(memberFunc("host-1", 3), withLongTimeouts(Options{}))
	t.Cleanup(func() { _ = client.Close(testContext(t)) })
	return client
}

func TestBadFrameFailsRequest(t *testing.T) {
	head := &message.Head{Status: 200}
	cases := map[string][]byte{
		"not CBOR":         {0xff},
		"unknown kind":     encoded(t, &frame{Kind: 200}),
		"wrong side":       encoded(t, &frame{Kind: kindCall, Call: ping(1)}),
		"data before head": encoded(t, &frame{Kind: kindData, ID: 1, Last: true}),
		"beyond credit":    encoded(t, &frame{Kind: kindHead, ID: 1, Head: head, Data: make([]byte, DefaultWindow+1)}),
		"invalid status":   encoded(t, &frame{Kind: kindHead, ID: 1, Head: &message.Head{}}),
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			to := startScriptedServer(t, handshakeAsHost2, func(c *conn) {
				_, _ = c.expect(context.Background(), kindRequest)
				_ = c.ws.Write(context.Background(), messageType, data)
				_, _, _ = c.ws.Read(context.Background())
			})
			_, fail := newTestClient(t).Request(testContext(t), to, &message.Request{ID: "r"})
			assertOutcome(t, fail, outcome.Unknown, outcome.HostUnreachable)
		})
	}
}

func TestServerVersionMismatch(t *testing.T) {
	to := startScriptedServer(t, func(c *conn) error {
		hello := newHello(memberFunc("host-2", 7)())
		hello.Hello.Version++
		_ = c.writeFrame(context.Background(), hello)
		_, _ = c.expect(context.Background(), kindHello)
		return errors.New("mismatch")
	}, nil)
	client := newTestClient(t)
	_, err := client.Call(testContext(t), to, ping(1))
	var version *VersionMismatchError
	if !errors.As(err, &version) || version.Got != message.Version+1 {
		t.Errorf("got %v, want VersionMismatchError with version %d", err, message.Version+1)
	}
	_, fail := client.Request(testContext(t), to, &message.Request{})
	assertOutcome(t, fail, outcome.NotRun, outcome.VersionMismatch)
}

func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var got frame
		if err := decode(data, &got); err != nil {
			var bad *BadFrameError
			if !errors.As(err, &bad) {
				t.Errorf("got error %v, want a *BadFrameError", err)
			}
			return
		}
		if err := decode(encoded(t, &got), new(frame)); err != nil {
			t.Errorf("decode again: got error %v, want none", err)
		}
	})
}
