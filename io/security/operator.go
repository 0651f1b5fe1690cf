package security

import (
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"pineturn/core/clock"
)

// OperatorSettings are the settings of an operators' client. With none set, it talks
// without TLS and shows no key.
type OperatorSettings struct {
	// CAFile is a PEM file of the authorities for hosts' certificates.
	CAFile string
	// KeyFile holds the operator's keys.
	KeyFile string
}

// Flags returns the command line flags of the settings.
func (o *OperatorSettings) Flags() []cli.Flag {
	return []cli.Flag{
		fileFlag("tls-ca", "PINETURN_TLS_CA", "PEM file of the authorities for hosts' certificates; needed for https", &o.CAFile),
		fileFlag("operator-keys", "PINETURN_OPERATOR_KEYS", "file of the operator's keys, the first one is shown", &o.KeyFile),
	}
}

// Check returns every fault of the settings.
func (o *OperatorSettings) Check() []error {
	var faults []error
	if o.KeyFile != "" && o.CAFile == "" {
		faults = append(faults, fmt.Errorf("--operator-keys: needs --tls-ca, %w", ErrTLSRequired))
	}
	for _, err := range []error{checkCA("--tls-ca", o.CAFile), checkKeys("--operator-keys", o.KeyFile)} {
		if err != nil {
			faults = append(faults, err)
		}
	}
	return faults
}

// Transport returns what an operators' client sends its requests through.
func (o *OperatorSettings) Transport(clk clock.Clock) (http.RoundTripper, error) {
	transport := &http.Transport{}
	if o.CAFile != "" {
		certificates, err := OpenCertificates(Files{CA: o.CAFile}, clk)
		if err != nil {
			return nil, err
		}
		transport.DialTLSContext = certificates.DialTLSContext
	}
	if o.KeyFile == "" {
		return transport, nil
	}
	keys, err := OpenKeys(o.KeyFile, clk)
	if err != nil {
		return nil, err
	}
	return &KeyTransport{Keys: keys, Next: transport}, nil
}

// KeyTransport shows a key with each request that it passes on.
type KeyTransport struct {
	Keys *Keys
	Next http.RoundTripper
}

// RoundTrip sends a request with its key, over TLS only.
func (t *KeyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	if err := t.Keys.Authorize(r); err != nil {
		return nil, fmt.Errorf("show key: %w", err)
	}
	return t.Next.RoundTrip(r)
}
