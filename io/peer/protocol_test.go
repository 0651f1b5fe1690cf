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

// rawClient opens a connection by hand. Change may alter its first frame,
// knowing the server's.
func rawClient(t *testing.T, r *rig, change func(mine, server *frame)) *conn {
	t.Helper()
	ws, _, err := websocket.Dial(within(t), "ws://"+r.to.Address+Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ws.CloseNow() })
	options := Options{}.withDefaults()
	c := newConn(ws, &batchConn{tally: new(tally)}, &options)
	server, err := c.expect(within(t), kindHello)
	if err != nil {
		t.Fatal(err)
	}
	mine := opening(member("host-1", 3)())
	mine.Plane = Requests
	if change != nil {
		change(mine, server)
	}
	if err := c.put(within(t), mine); err != nil {
		t.Fatal(err)
	}
	return c
}

// assertClosed reads until the other side closes and checks the code.
func assertClosed(t *testing.T, c *conn, want websocket.StatusCode) {
	t.Helper()
	for {
		_, _, err := c.ws.Read(within(t))
		if err == nil {
			continue
		}
		if got := websocket.CloseStatus(err); got != want {
			t.Errorf("got close status %v (%v), want %v", got, err, want)
		}
		return
	}
}

// refusals collects what a server tells of refused connections.
func refusals(r *rig) chan error {
	told := make(chan error, 10)
	r.server.OnRefused = func(_ string, err error) { told <- err }
	return told
}

// assertTold checks that the server told of an error of type E.
func assertTold[E error](t *testing.T, told chan error) {
	t.Helper()
	var want E
	select {
	case err := <-told:
		if !errors.As(err, &want) {
			t.Errorf("server: got error %v, want a %T", err, want)
		}
	case <-within(t).Done():
		t.Errorf("server: got no error, want a %T", want)
	}
}

func TestHandshakeRefused(t *testing.T) {
	r := newRig(t, Options{})
	told := refusals(r)
	t.Run("version", func(t *testing.T) {
		c := rawClient(t, r, func(f, _ *frame) { f.Hello.Version++ })
		assertClosed(t, c, statusVersion)
		assertTold[*VersionMismatch](t, told)
	})
	t.Run("incarnation", func(t *testing.T) {
		c := rawClient(t, r, func(f, _ *frame) { f.Want = record.Incarnation{Host: "host-2", Run: 8} })
		assertClosed(t, c, statusIncarnation)
		assertTold[*IncarnationMismatch](t, told)
	})
	t.Run("plane", func(t *testing.T) {
		c := rawClient(t, r, func(f, _ *frame) { f.Plane = 9 })
		assertClosed(t, c, websocket.StatusProtocolError)
		assertTold[*BadFrame](t, told)
	})
}

func TestBadFrameClosesServerConn(t *testing.T) {
	r := newRig(t, Options{MaxFrame: 1000})
	told := refusals(r)
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
			if _, err := c.expect(within(t), kindWelcome); err != nil {
				t.Fatal(err)
			}
			if err := c.ws.Write(within(t), messageType, test.data); err != nil {
				t.Fatal(err)
			}
			assertClosed(t, c, test.want)
			assertTold[*BadFrame](t, told)
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

// answering starts a server that shakes hands by hand and then runs script.
func answering(t *testing.T, hello func(*conn) error, script func(*conn)) record.Member {
	t.Helper()
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			t.Error(err)
			return
		}
		options := Options{}.withDefaults()
		c := newConn(ws, &batchConn{tally: new(tally)}, &options)
		if err := hello(c); err == nil {
			script(c)
		}
		_ = ws.CloseNow()
	}))
	t.Cleanup(web.Close)
	to := member("host-2", 7)()
	to.Address = strings.TrimPrefix(web.URL, "http://")
	return to
}

func greetAsHost2(c *conn) error {
	return c.greetClient(context.Background(), member("host-2", 7)())
}

// rigClient returns a client that is closed with the test.
func rigClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient(member("host-1", 3), patient(Options{}))
	t.Cleanup(func() { _ = client.Close(within(t)) })
	return client
}

func TestBadFrameFailsRequest(t *testing.T) {
	head := &message.Head{Status: 200}
	cases := map[string][]byte{
		"not CBOR":       {0xff},
		"unknown kind":   encoded(t, &frame{Kind: 200}),
		"wrong side":     encoded(t, &frame{Kind: kindCall, Call: ping(1)}),
		"data unheaded":  encoded(t, &frame{Kind: kindData, ID: 1, Last: true}),
		"beyond credit":  encoded(t, &frame{Kind: kindHead, ID: 1, Head: head, Data: make([]byte, DefaultWindow+1)}),
		"invalid status": encoded(t, &frame{Kind: kindHead, ID: 1, Head: &message.Head{}}),
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			to := answering(t, greetAsHost2, func(c *conn) {
				_, _ = c.expect(context.Background(), kindRequest)
				_ = c.ws.Write(context.Background(), messageType, data)
				_, _, _ = c.ws.Read(context.Background())
			})
			_, fail := rigClient(t).Request(within(t), to, &message.Request{ID: "r"})
			assertOutcome(t, fail, outcome.Unknown, outcome.HostUnreachable)
		})
	}
}

func TestServerOfOtherVersion(t *testing.T) {
	to := answering(t, func(c *conn) error {
		hello := opening(member("host-2", 7)())
		hello.Hello.Version++
		_ = c.put(context.Background(), hello)
		_, _ = c.expect(context.Background(), kindHello)
		return errors.New("mismatch")
	}, nil)
	client := rigClient(t)
	_, err := client.Call(within(t), to, ping(1))
	var version *VersionMismatch
	if !errors.As(err, &version) || version.Got != message.Version+1 {
		t.Errorf("got %v, want VersionMismatch with version %d", err, message.Version+1)
	}
	_, fail := client.Request(within(t), to, &message.Request{})
	assertOutcome(t, fail, outcome.NotRun, outcome.VersionMismatch)
}

func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var got frame
		if err := decode(data, &got); err != nil {
			var bad *BadFrame
			if !errors.As(err, &bad) {
				t.Errorf("got error %v, want a *BadFrame", err)
			}
			return
		}
		if err := decode(encoded(t, &got), new(frame)); err != nil {
			t.Errorf("decode again: got error %v, want none", err)
		}
	})
}
