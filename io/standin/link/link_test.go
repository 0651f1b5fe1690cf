package link_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"pineturn/io/standin/link"
)

const limit = 30 * time.Second

// echo answers everything with itself and ends when the other side ends.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func start(t *testing.T, options ...link.Option) *link.Link {
	t.Helper()
	carrier, err := link.New("127.0.0.1:0", echo(t), options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(carrier.Close)
	return carrier
}

func dial(t *testing.T, carrier *link.Link) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", carrier.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func assertEcho(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(limit))
	got := make([]byte, len(text))
	_, err := conn.Write([]byte(text))
	if err == nil {
		_, err = io.ReadFull(conn, got)
	}
	if err != nil || string(got) != text {
		t.Fatalf("got %q, %v, want %q", got, err, text)
	}
}

// assertNothing asserts that a written text has not come back after a while.
func assertNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
	_, _ = conn.Write([]byte("x"))
	if n, err := conn.Read(make([]byte, 1)); err == nil {
		t.Fatalf("got %d bytes, want none", n)
	}
}

func order(t *testing.T, carrier *link.Link, body string, want int) {
	t.Helper()
	recorder := httptest.NewRecorder()
	carrier.ServeHTTP(recorder, httptest.NewRequest("POST", "/admin/link", strings.NewReader(body)))
	if recorder.Code != want {
		t.Fatalf("got %d %s, want %d", recorder.Code, recorder.Body, want)
	}
}

func TestCutAndUp(t *testing.T) {
	carrier := start(t)
	conn := dial(t, carrier)
	assertEcho(t, conn, "one")
	order(t, carrier, `{"mode":"cut"}`, 200)
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Fatalf("got %v, want a reset", err)
	}
	if _, err := net.Dial("tcp", carrier.Address()); err == nil {
		t.Fatal("got a connection, want it refused")
	}
	order(t, carrier, `{"mode":"up"}`, 200)
	assertEcho(t, dial(t, carrier), "two")
	order(t, carrier, `{"mode":"odd"}`, 400)
}

func TestSilentIsForGoodWhileNewOnesWork(t *testing.T) {
	carrier := start(t)
	before := dial(t, carrier)
	assertEcho(t, before, "one")
	order(t, carrier, `{"mode":"silent"}`, 200)
	assertEcho(t, dial(t, carrier), "two")
	assertNothing(t, before)
	order(t, carrier, `{"mode":"up"}`, 200)
	assertNothing(t, before)
}

func TestStalledGoesOn(t *testing.T) {
	carrier := start(t)
	conn := dial(t, carrier)
	assertEcho(t, conn, "one")
	order(t, carrier, `{"mode":"stalled"}`, 200)
	assertNothing(t, conn)
	order(t, carrier, `{"mode":"up"}`, 200)
	assertEcho(t, conn, "x"[:0])
	_ = conn.SetDeadline(time.Now().Add(limit))
	got := make([]byte, 1)
	if _, err := io.ReadFull(conn, got); err != nil || got[0] != 'x' {
		t.Fatalf("got %q, %v, want the stalled x", got, err)
	}
}

func TestModeOfOneSource(t *testing.T) {
	carrier := start(t)
	reach := func(ip string) (net.Conn, error) {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := dialer.Dial("tcp", carrier.Address())
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
		return conn, err
	}
	from := func(ip string) net.Conn {
		t.Helper()
		conn, err := reach(ip)
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	near, other := from("127.0.0.1"), from("127.0.0.2")
	assertEcho(t, near, "one")
	assertEcho(t, other, "one")
	order(t, carrier, `{"mode":"cut","from":"127.0.0.2"}`, 200)
	assertEcho(t, near, "two")
	assertNothing(t, other)
	// The reset of a cut connection may come before dialling has ended.
	if conn, err := reach("127.0.0.2"); err == nil {
		assertNothing(t, conn)
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("dial while cut: got %v, want a reset or a connection that carries nothing", err)
	}
	order(t, carrier, `{"mode":"up"}`, 200)
	assertEcho(t, from("127.0.0.2"), "three")
}

func TestDelayKeepsOrderAndBandwidth(t *testing.T) {
	const delay = 20 * time.Millisecond
	carrier := start(t, link.WithDelay(delay))
	conn := dial(t, carrier)
	sent := time.Now()
	assertEcho(t, conn, "one")
	if got := time.Since(sent); got < 2*delay {
		t.Fatalf("got an echo after %s, want at least %s", got, 2*delay)
	}
	data := bytes.Repeat([]byte("0123456789"), 1<<20)
	_ = conn.SetDeadline(time.Now().Add(limit))
	go func() {
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.Equal(got, data) {
		t.Fatalf("got %d bytes, %v, want %d equal ones", len(got), err, len(data))
	}
}
