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

// errNoCertificate means that the other side presented no certificate.
var errNoCertificate = errors.New("no certificate shown")

// Files holds the paths of PEM files. Cert and Key may both be empty for a client.
type Files struct {
	Cert, Key, CA string
}

// Certificates provides a certificate chain with its key, and the CA certificates for
// verifying the other side's certificate. All are reloaded when their files change.
type Certificates struct {
	content *reloader[*certificateSet]
}

// certificateSet is the content of the files at one time.
type certificateSet struct {
	// own holds the certificate chain and its key, or nothing for a client
	// without a certificate.
	own         []tls.Certificate
	authorities *x509.CertPool
}

// OpenCertificates loads the files. It returns an error if a file cannot be read or
// parsed.
func OpenCertificates(files Files, clk clock.Clock) (*Certificates, error) {
	paths := []string{files.CA}
	if files.Cert != "" {
		paths = append(paths, files.Cert, files.Key)
	}
	content, err := newReloader(paths, clk, func() (*certificateSet, error) { return loadCertificates(files) })
	if err != nil {
		return nil, err
	}
	return &Certificates{content: content}, nil
}

// loadCertificates reads the files whose paths are set.
func loadCertificates(files Files) (*certificateSet, error) {
	out := new(certificateSet)
	var err error
	if out.authorities, err = loadCA(files.CA); err != nil {
		return nil, err
	}
	if files.Cert == "" {
		return out, nil
	}
	own, err := loadKeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, err
	}
	out.own = []tls.Certificate{own}
	return out, nil
}

// loadKeyPair reads a certificate chain and its key.
func loadKeyPair(cert, key string) (tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("load certificate and key: %w", err)
	}
	return pair, nil
}

// loadCA reads CA certificates.
func loadCA(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("read CA certificates: %s contains no PEM certificate", file)
	}
	return pool, nil
}

// ServerConfig returns a configuration that uses the current content of the files for
// each handshake. Session resumption is disabled, because the client certificate of a
// resumed session would not be verified against changed CA certificates.
func (c *Certificates) ServerConfig(clientAuth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := c.content.get()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           current.own,
				ClientCAs:              current.authorities,
				ClientAuth:             clientAuth,
				NextProtos:             []string{"http/1.1"},
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the configuration for one new connection, with the current
// content of the files. The server's certificate must contain the name or address
// that is dialled.
func (c *Certificates) ClientConfig() *tls.Config {
	current := c.content.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: current.own,
		RootCAs:      current.authorities,
	}
}

// ClientConfigAnyName is like ClientConfig but does not verify the server's name. The
// caller of ClientConfigAnyName has to verify the name with CheckHostName after the
// server has sent it.
func (c *Certificates) ClientConfigAnyName() *tls.Config {
	config := c.ClientConfig()
	authorities := config.RootCAs
	// This disables all verification. VerifyConnection verifies the chain.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyChain(state, authorities)
	}
	return config
}

// verifyChain returns an error unless the chain of a server's certificate ends in one
// of the authorities.
func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("verify certificate: %w", err)
	}
	return nil
}

// CheckHostName returns an error unless the other side of a connection presented
// a certificate that contains the name of host.
func CheckHostName(state *tls.ConnectionState, host string) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	if err := state.PeerCertificates[0].VerifyHostname(host); err != nil {
		return fmt.Errorf("check host's name: %w", err)
	}
	return nil
}

// DialTLSContext opens a TLS connection with the current content of the files. It can
// be used as the DialTLSContext field of http.Transport.
func (c *Certificates) DialTLSContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{Config: c.ClientConfig()}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial with TLS: %w", err)
	}
	return conn, nil
}
