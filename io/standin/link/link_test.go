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

// limit bounds each read and write that is expected to succeed.
const limit = 30 * time.Second

// echo starts a TCP echo server and returns its address. A connection ends when
// the client closes it.
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
	proxy, err := link.New("127.0.0.1:0", echo(t), options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

func dial(t *testing.T, proxy *link.Link) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Address())
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

// assertNothing writes one byte and asserts that it is not echoed within 50 ms.
func assertNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
	_, _ = conn.Write([]byte("x"))
	if n, err := conn.Read(make([]byte, 1)); err == nil {
		t.Fatalf("got %d bytes, want no echo", n)
	}
}

func postMode(t *testing.T, proxy *link.Link, body string, want int) {
	t.Helper()
	recorder := httptest.NewRecorder()
	proxy.ServeHTTP(recorder, httptest.NewRequest("POST", "/admin/link", strings.NewReader(body)))
	if recorder.Code != want {
		t.Fatalf("got %d %s, want %d", recorder.Code, recorder.Body, want)
	}
}

// Guards against a cut that leaves an open connection in place or accepts a new one,
// and against a link that stays cut when its mode is up again.
func TestCutAndUp(t *testing.T) {
	proxy := start(t)
	conn := dial(t, proxy)
	assertEcho(t, conn, "one")
	postMode(t, proxy, `{"mode":"cut"}`, 200)
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Fatalf("read while cut: got %v, want a reset", err)
	}
	if _, err := net.Dial("tcp", proxy.Address()); err == nil {
		t.Fatal("connected while cut, want the connection refused")
	}
	postMode(t, proxy, `{"mode":"up"}`, 200)
	assertEcho(t, dial(t, proxy), "two")
	postMode(t, proxy, `{"mode":"odd"}`, 400)
}

// Guards against a silent mode that affects new connections or ends with the mode: a
// connection from before the mode and one from after it send data.
func TestSilentAffectsOpenConnectionsPermanently(t *testing.T) {
	proxy := start(t)
	before := dial(t, proxy)
	assertEcho(t, before, "one")
	postMode(t, proxy, `{"mode":"silent"}`, 200)
	assertEcho(t, dial(t, proxy), "two")
	assertNothing(t, before)
	postMode(t, proxy, `{"mode":"up"}`, 200)
	assertNothing(t, before)
}

// Guards against data that is transferred during a stall or lost by it: one byte is
// sent while the link is stalled, and arrives when it is up.
func TestStalledResumes(t *testing.T) {
	proxy := start(t)
	conn := dial(t, proxy)
	assertEcho(t, conn, "one")
	postMode(t, proxy, `{"mode":"stalled"}`, 200)
	assertNothing(t, conn)
	postMode(t, proxy, `{"mode":"up"}`, 200)
	assertEcho(t, conn, "x"[:0])
	_ = conn.SetDeadline(time.Now().Add(limit))
	got := make([]byte, 1)
	if _, err := io.ReadFull(conn, got); err != nil || got[0] != 'x' {
		t.Fatalf("after the stall: got %q, %v, want the stalled x", got, err)
	}
}

// Guards against a cut of one source address that affects another, or that does not
// affect the connections of its own: two addresses send data while one is cut.
func TestSourceMode(t *testing.T) {
	proxy := start(t)
	dialFrom := func(ip string) (net.Conn, error) {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := dialer.Dial("tcp", proxy.Address())
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
		return conn, err
	}
	mustDialFrom := func(ip string) net.Conn {
		t.Helper()
		conn, err := dialFrom(ip)
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	first, second := mustDialFrom("127.0.0.1"), mustDialFrom("127.0.0.2")
	assertEcho(t, first, "one")
	assertEcho(t, second, "one")
	postMode(t, proxy, `{"mode":"cut","from":"127.0.0.2"}`, 200)
	assertEcho(t, first, "two")
	assertNothing(t, second)
	// The reset of a cut connection may arrive before Dial returns.
	if conn, err := dialFrom("127.0.0.2"); err == nil {
		assertNothing(t, conn)
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("dial while cut: got %v, want a reset or a connection without data", err)
	}
	postMode(t, proxy, `{"mode":"up"}`, 200)
	assertEcho(t, mustDialFrom("127.0.0.2"), "three")
}

// Guards against data that is lost, duplicated or reordered, since the link reads
// later data while earlier data waits for its delay.
func TestDelayKeepsOrderAndBandwidth(t *testing.T) {
	const delay = 20 * time.Millisecond
	proxy := start(t, link.WithDelay(delay))
	conn := dial(t, proxy)
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
		t.Fatalf("got %d bytes, %v, want the %d bytes that were sent", len(got), err, len(data))
	}
}
