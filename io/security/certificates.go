package security

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"

	"pineturn/core/clock"
)

// errNoCertificate means that the other side showed no certificate.
var errNoCertificate = errors.New("no certificate shown")

// Files name PEM files. Cert and Key may both be empty on a client.
type Files struct {
	Cert, Key, CA string
}

// Certificates are a certificate chain with its key, and the authorities that
// the other side's certificate is checked against.
type Certificates struct {
	content *watched[*certificates]
}

// certificates are the content of the files at one time.
type certificates struct {
	own         []tls.Certificate
	authorities *x509.CertPool
}

// OpenCertificates reads the files.
func OpenCertificates(files Files, clk clock.Clock) (*Certificates, error) {
	names := []string{files.CA}
	if files.Cert != "" {
		names = append(names, files.Cert, files.Key)
	}
	content, err := watch(names, clk, func() (*certificates, error) { return readAll(files) })
	if err != nil {
		return nil, err
	}
	return &Certificates{content: content}, nil
}

// readAll reads the files that are named.
func readAll(files Files) (*certificates, error) {
	out := new(certificates)
	var err error
	if out.authorities, err = readCA(files.CA); err != nil {
		return nil, err
	}
	if files.Cert == "" {
		return out, nil
	}
	own, err := readPair(files.Cert, files.Key)
	if err != nil {
		return nil, err
	}
	out.own = []tls.Certificate{own}
	return out, nil
}

// readPair reads a certificate chain and its key.
func readPair(cert, key string) (tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("read certificate: %w", err)
	}
	return pair, nil
}

// readCA reads the certificates of authorities.
func readCA(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("read authorities: %s holds no PEM certificate", file)
	}
	return pool, nil
}

// ServerConfig returns a configuration that uses the files as they are at each
// handshake. Sessions are not resumed, because a resumed one would not be
// checked against changed authorities.
func (c *Certificates) ServerConfig(clients tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := c.content.get()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           now.own,
				ClientCAs:              now.authorities,
				ClientAuth:             clients,
				NextProtos:             []string{"http/1.1"},
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the configuration for one new connection, with the files as
// they are now. The server's certificate must hold the name or address
// that is dialled.
func (c *Certificates) ClientConfig() *tls.Config {
	now := c.content.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: now.own,
		RootCAs:      now.authorities,
	}
}

// ClientConfigAnyName is like Client but leaves the check of the name to the caller,
// who does it by CheckName once the server has told its name.
func (c *Certificates) ClientConfigAnyName() *tls.Config {
	config := c.ClientConfig()
	authorities := config.RootCAs
	// The chain is still verified, by VerifyConnection.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyChain(state, authorities)
	}
	return config
}

// verifyChain checks that authorities vouch for a server's certificate.
func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	others := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		others.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: others,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("verify certificate: %w", err)
	}
	return nil
}

// CheckHostName checks that the other side of a connection showed a certificate
// that holds a host's name.
func CheckHostName(state *tls.ConnectionState, host string) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	if err := state.PeerCertificates[0].VerifyHostname(host); err != nil {
		return fmt.Errorf("check host's name: %w", err)
	}
	return nil
}

// DialTLSContext opens a connection with the files as they are now. It suits
// the field of that name in http.Transport.
func (c *Certificates) DialTLSContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{Config: c.ClientConfig()}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial with TLS: %w", err)
	}
	return conn, nil
}
