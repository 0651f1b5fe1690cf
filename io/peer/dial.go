package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
)

// connect opens a TCP connection, and performs the TLS handshake if TLS is
// configured.
func (c *Client) connect(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	plain, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if c.options.TLS == nil {
		return plain, nil
	}
	config := c.options.TLS().Clone()
	if config.ServerName == "" {
		config.ServerName, _, err = net.SplitHostPort(address)
	}
	if err == nil {
		secured := tls.Client(plain, config)
		if err = secured.HandshakeContext(ctx); err == nil {
			return secured, nil
		}
	}
	_ = plain.Close()
	return nil, fmt.Errorf("tls handshake: %w", err)
}

// tlsState returns the state of a TLS connection, or nil if socket does not use
// TLS.
func tlsState(socket net.Conn) *tls.ConnectionState {
	secured, ok := socket.(*tls.Conn)
	if !ok {
		return nil
	}
	state := secured.ConnectionState()
	return &state
}
