package target

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
)

// dialFunc opens a connection, as the fields of http.Transport do.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// scheme is the scheme of the targets' URLs.
func (c *Client) scheme() string {
	if c.options.TLS == nil {
		return "http"
	}
	return "https"
}

// authorize shows the target who asks.
func (c *Client) authorize(request *http.Request) error {
	if c.options.Authorize == nil {
		return nil
	}
	if err := c.options.Authorize(request); err != nil {
		return fmt.Errorf("authorize: %w", err)
	}
	return nil
}

// dialTLS opens a connection over TLS, the handshake included, within the
// time for a connection.
func (c *Client) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial target: %w", err)
	}
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config := c.options.TLS()
	config.ServerName = host
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("TLS handshake with target: %w", err)
	}
	return secure, nil
}

// guarded makes connections that write only what a guard admits. With TLS
// the guard sees the request before it is encrypted, and not the handshake.
func guarded(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}
