package socket

import (
	"context"
	"net"
)

// DialFunc opens a connection, as net.Dialer's DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
