// Package sockettest provides servers of bare connections for tests.
package sockettest

import (
	"io"
	"net"
	"testing"
)

// Serve calls handle with each connection to the address that it returns, until the test ends, and closes
// the connection when handle returns.
func Serve(t testing.TB, handle func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// ServeSilent reads all that is sent to the address that it returns and never answers. The channel receives
// how a connection has ended, nil if it was closed and not reset.
func ServeSilent(t testing.TB) (address string, ended <-chan error) {
	t.Helper()
	ends := make(chan error, 1)
	return Serve(t, func(conn net.Conn) {
		_, err := io.Copy(io.Discard, conn)
		ends <- err
	}), ends
}
