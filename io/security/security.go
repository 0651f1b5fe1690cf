// Package security provides the TLS configurations and shared keys for connections
// between hosts, from operators and to targets. Changed files are reloaded, so that
// certificates and keys can be rotated without a restart and without closing open
// connections.
package security

import (
	"crypto/tls"

	"github.com/urfave/cli/v3"

	"pineturn/core/clock"
)

// Settings holds the paths of the files. Check rejects the zero value: Insecure must
// be set to run without TLS and keys.
type Settings struct {
	// Insecure disables TLS and keys between hosts and for operators.
	Insecure bool
	// CertFile, PrivateKeyFile and CAFile are PEM files of this host's certificate
	// chain, of its key, and of the CA certificates for verifying hosts.
	CertFile       string
	PrivateKeyFile string `json:"KeyFile"`
	CAFile         string
	// CheckHost requires a host's certificate to contain the host's name instead
	// of its address.
	CheckHost bool
	// PeerKeysFile is a file of the keys shared by the hosts, OperatorKeysFile a
	// file of the keys accepted from operators.
	PeerKeysFile     string `json:"PeerKeyFile"`
	OperatorKeysFile string `json:"OperatorKeyFile"`
	// TargetCAFile is a PEM file of the CA certificates for verifying targets; it
	// enables TLS to targets. TargetCertFile and TargetPrivateKeyFile are PEM files of
	// the certificate chain presented to targets and of its key. TargetBearerKeysFile
	// is a file of the bearer keys for targets.
	TargetCAFile         string
	TargetCertFile       string
	TargetPrivateKeyFile string `json:"TargetKeyFile"`
	TargetBearerKeysFile string `json:"TargetKeysFile"`
}

// Flags returns the command line flags of the settings, each with its
// environment variable.
func (s *Settings) Flags() []cli.Flag {
	return []cli.Flag{
		boolFlag("insecure", "PINETURN_INSECURE", "disable TLS and keys between hosts and for operators", &s.Insecure),
		fileFlag("tls-cert", "PINETURN_TLS_CERT", "PEM file of this host's certificate chain", &s.CertFile),
		fileFlag("tls-key", "PINETURN_TLS_KEY", "PEM file of this host's private key", &s.PrivateKeyFile),
		fileFlag("tls-ca", "PINETURN_TLS_CA", "PEM file of the CA certificates for verifying hosts", &s.CAFile),
		boolFlag("tls-check-host", "PINETURN_TLS_CHECK_HOST",
			"require hosts' certificates to contain the host's name instead of its address", &s.CheckHost),
		fileFlag("peer-keys", "PINETURN_PEER_KEYS", "file of the keys shared by the hosts, one per line; the first one is used", &s.PeerKeysFile),
		fileFlag("operator-keys", "PINETURN_OPERATOR_KEYS", "file of the keys accepted from operators, one per line", &s.OperatorKeysFile),
		fileFlag("target-tls-ca", "PINETURN_TARGET_TLS_CA",
			"PEM file of the CA certificates for verifying targets; enables TLS to targets", &s.TargetCAFile),
		fileFlag("target-tls-cert", "PINETURN_TARGET_TLS_CERT", "PEM file of the certificate chain presented to targets", &s.TargetCertFile),
		fileFlag("target-tls-key", "PINETURN_TARGET_TLS_KEY", "PEM file of the private key for the certificate presented to targets", &s.TargetPrivateKeyFile),
		fileFlag("target-keys", "PINETURN_TARGET_KEYS",
			"file of the bearer keys for targets, one per line; the first one is used", &s.TargetBearerKeysFile),
	}
}

// boolFlag returns a boolean flag with its environment variable.
func boolFlag(name, variable, usage string, value *bool) cli.Flag {
	return &cli.BoolFlag{Name: name, Sources: cli.EnvVars(variable), Usage: usage, Destination: value}
}

// fileFlag returns a flag for a file, with its environment variable.
func fileFlag(name, variable, usage string, value *string) cli.Flag {
	return &cli.StringFlag{Name: name, Sources: cli.EnvVars(variable), Usage: usage, Destination: value, TakesFile: true}
}

// Credentials holds the certificates and keys that the settings specify. Those that
// are disabled are nil.
type Credentials struct {
	hosts        *Certificates
	targets      *Certificates
	peerKeys     *Keys
	operatorKeys *Keys
	targetKeys   *Keys
	checkHost    bool
}

// Open loads the files. It returns the first error; Check, to be called before,
// returns all errors.
func (s *Settings) Open(clk clock.Clock) (*Credentials, error) {
	out := &Credentials{checkHost: s.CheckHost}
	if !s.Insecure {
		if err := s.openHosts(out, clk); err != nil {
			return nil, err
		}
	}
	var err error
	if s.TargetCAFile != "" {
		pair := Files{Cert: s.TargetCertFile, Key: s.TargetPrivateKeyFile, CA: s.TargetCAFile}
		if out.targets, err = OpenCertificates(pair, clk); err != nil {
			return nil, err
		}
	}
	if s.TargetBearerKeysFile != "" {
		if out.targetKeys, err = OpenKeys(s.TargetBearerKeysFile, clk); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// openHosts loads the files for hosts and operators into out.
func (s *Settings) openHosts(out *Credentials, clk clock.Clock) error {
	var err error
	pair := Files{Cert: s.CertFile, Key: s.PrivateKeyFile, CA: s.CAFile}
	if out.hosts, err = OpenCertificates(pair, clk); err != nil {
		return err
	}
	if out.peerKeys, err = OpenKeys(s.PeerKeysFile, clk); err != nil {
		return err
	}
	out.operatorKeys, err = OpenKeys(s.OperatorKeysFile, clk)
	return err
}

// PeerServerTLS returns the configuration for accepting connections from hosts, nil
// without TLS.
func (s *Credentials) PeerServerTLS() *tls.Config {
	if s.hosts == nil {
		return nil
	}
	return s.hosts.ServerConfig(tls.RequireAndVerifyClientCert)
}

// PeerClientTLS returns a function that returns the configuration for each new
// connection to a host. The function is nil without TLS.
func (s *Credentials) PeerClientTLS() func() *tls.Config {
	switch {
	case s.hosts == nil:
		return nil
	case s.checkHost:
		return s.hosts.ClientConfigAnyName
	}
	return s.hosts.ClientConfig
}

// OperatorServerTLS returns the configuration for accepting connections from
// operators, nil without TLS. Operators authenticate with a key, not a certificate.
func (s *Credentials) OperatorServerTLS() *tls.Config {
	if s.hosts == nil {
		return nil
	}
	return s.hosts.ServerConfig(tls.NoClientCert)
}

// CheckHost reports whether the certificates of hosts must contain the hosts' names.
func (s *Credentials) CheckHost() bool { return s.checkHost && s.hosts != nil }

// PeerKeys returns the keys shared by the hosts, nil if disabled.
func (s *Credentials) PeerKeys() *Keys { return s.peerKeys }

// OperatorKeys returns the keys accepted from operators, nil if disabled.
func (s *Credentials) OperatorKeys() *Keys { return s.operatorKeys }

// TargetCertificates returns the certificates for connections to targets, nil without
// TLS.
func (s *Credentials) TargetCertificates() *Certificates { return s.targets }

// TargetKeys returns the bearer keys for targets, nil if not configured.
func (s *Credentials) TargetKeys() *Keys { return s.targetKeys }
