package security

import (
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"pineturn/core/clock"
)

// OperatorSettings holds the settings of a client for operators. The zero value
// disables TLS and sends no key.
type OperatorSettings struct {
	// CAFile is a PEM file of the CA certificates for verifying hosts.
	CAFile string
	// KeysFile is a file of the operator's keys, of which the first is sent.
	KeysFile string
}

// Flags returns the command line flags of the settings.
func (o *OperatorSettings) Flags() []cli.Flag {
	return []cli.Flag{
		fileFlag("tls-ca", "PINETURN_TLS_CA", "PEM file of the CA certificates for verifying hosts; required for https", &o.CAFile),
		fileFlag("operator-keys", "PINETURN_OPERATOR_KEYS", "file of the operator's keys; the first one is sent", &o.KeysFile),
	}
}

// Check returns all errors in the settings, including those of reading the files.
func (o *OperatorSettings) Check() []error {
	var errs []error
	if o.KeysFile != "" && o.CAFile == "" {
		errs = append(errs, fmt.Errorf("--operator-keys: requires --tls-ca: %w", ErrTLSRequired))
	}
	for _, err := range []error{checkCA("--tls-ca", o.CAFile), checkKeys("--operator-keys", o.KeysFile)} {
		if err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// Transport returns the transport for an operator's requests, configured by the
// settings.
func (o *OperatorSettings) Transport(clk clock.Clock) (http.RoundTripper, error) {
	transport := &http.Transport{}
	if o.CAFile != "" {
		certificates, err := OpenCertificates(Files{CA: o.CAFile}, clk)
		if err != nil {
			return nil, err
		}
		transport.DialTLSContext = certificates.DialTLSContext
	}
	if o.KeysFile == "" {
		return transport, nil
	}
	keys, err := OpenKeys(o.KeysFile, clk)
	if err != nil {
		return nil, err
	}
	return &KeyTransport{Keys: keys, Next: transport}, nil
}

// KeyTransport is a transport that adds a key to each request and sends it with Next.
type KeyTransport struct {
	Keys *Keys
	Next http.RoundTripper
}

// RoundTrip sends a request with a key. It returns an error that wraps ErrTLSRequired
// if the request would be sent without TLS.
func (t *KeyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	if err := t.Keys.Authorize(r); err != nil {
		return nil, fmt.Errorf("add operator key: %w", err)
	}
	return t.Next.RoundTrip(r)
}
