package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
)

// DialFunc opens a connection, as net.Dialer's DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DiscardOnClose returns a dial function whose TCP connections are reset when they are
// closed. The kernel then discards data that the other end has not acknowledged; otherwise it
// would go on to deliver it, after a network partition seconds later.
func DiscardOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				return nil, errors.Join(fmt.Errorf("set linger of connection to %s: %w", address, err), conn.Close())
			}
		}
		return conn, nil
	}
}
