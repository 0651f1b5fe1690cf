package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pineturn/io/socket/sockettest"
)

// newEchoServer returns the address of a server that sends back what it receives.
func newEchoServer(t *testing.T) string {
	t.Helper()
	return sockettest.Serve(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
}

// dialThrough opens a connection that is subject to path.
func dialThrough(path *cut, address string) (net.Conn, error) {
	dial := path.wrap((&net.Dialer{}).DialContext, 50*time.Millisecond, new(atomic.Int64))
	return dial(context.Background(), "tcp", address)
}

// echo sends a byte and waits for it to come back.
func echo(conn net.Conn) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func wantError(t *testing.T, operation string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("%s: got error %v, want %v", operation, got, want)
	}
}

// wantDialError checks that a new connection fails with an error of a dial.
func wantDialError(t *testing.T, path *cut, address string, want error) {
	t.Helper()
	_, err := dialThrough(path, address)
	wantError(t, "dial", err, want)
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		t.Errorf("dial: got error %v, want one of the operation dial", err)
	}
}

// TestCut guards against a cut that lets requests pass or that outlasts its heal.
func TestCut(t *testing.T) {
	t.Parallel()
	address := newEchoServer(t)
	open := func(t *testing.T) (*cut, net.Conn) {
		t.Helper()
		path := &cut{conns: make(map[*cutConn]bool)}
		conn, err := dialThrough(path, address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		wantError(t, "echo before the cut", echo(conn), nil)
		return path, conn
	}
	t.Run("hang", func(t *testing.T) {
		path, conn := open(t)
		path.start(hang)
		wantDialError(t, path, address, os.ErrDeadlineExceeded)
		done := make(chan error, 1)
		go func() { done <- echo(conn) }()
		select {
		case err := <-done:
			t.Errorf("echo during the cut: got its end with error %v, want none before the heal", err)
		case <-time.After(50 * time.Millisecond):
		}
		path.heal()
		wantError(t, "echo after the heal", <-done, nil)
	})
	t.Run("hang, deadline and close", func(t *testing.T) {
		path, conn := open(t)
		path.start(hang)
		if err := conn.SetDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		wantError(t, "write", echo(conn), os.ErrDeadlineExceeded)
		if err := conn.SetDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
		wantError(t, "write", echo(conn), net.ErrClosed)
	})
	t.Run("reset", func(t *testing.T) {
		path, conn := open(t)
		path.start(reset)
		wantError(t, "echo", echo(conn), syscall.ECONNRESET)
		wantDialError(t, path, address, syscall.ECONNREFUSED)
		path.heal()
		conn, err := dialThrough(path, address)
		wantError(t, "dial after the heal", err, nil)
		wantError(t, "echo after the heal", echo(conn), nil)
		_ = conn.Close()
	})
	t.Run("refuse", func(t *testing.T) {
		path, conn := open(t)
		path.start(refuse)
		wantError(t, "echo", echo(conn), nil)
		wantDialError(t, path, address, syscall.ECONNREFUSED)
	})
}
