package target

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
)

// dialFunc opens a connection. It has the type of the DialContext and DialTLSContext
// fields of http.Transport.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// scheme returns the URL scheme for requests to targets.
func (c *Client) scheme() string {
	if c.options.TLS == nil {
		return "http"
	}
	return "https"
}

// authorize adds the host's credentials to a request, using Options.Authorize.
func (c *Client) authorize(request *http.Request) error {
	if c.options.Authorize == nil {
		return nil
	}
	if err := c.options.Authorize(request); err != nil {
		return fmt.Errorf("authorize: %w", err)
	}
	return nil
}

// dialTLS opens a TLS connection. Options.DialTimeout bounds the dial and the
// handshake together.
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

// guardDial wraps dial to return guarded connections. With TLS, the guard applies to
// writes before encryption and does not apply to the handshake.
func guardDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}
