// Package security sets up TLS and shared keys between hosts, for operators
// and towards targets. Files are read again when they change, so that
// certificates and keys are rotated without a restart and without cutting
// open connections.
package security

import (
	"crypto/tls"

	"github.com/urfave/cli/v3"

	"pineturn/core/clock"
)

// Settings name the files. The zero value is refused by Check: running
// without TLS and keys needs Insecure.
type Settings struct {
	// Insecure switches TLS and keys between hosts and for operators off.
	Insecure bool
	// CertFile, KeyFile and CAFile are PEM files: this host's certificate
	// chain and key, and the authorities that issue hosts' certificates.
	CertFile string
	KeyFile  string
	CAFile   string
	// CheckHost demands that a host's certificate names the host, and not its
	// address.
	CheckHost bool
	// PeerKeyFile and OperatorKeyFile hold the keys that hosts share, and
	// that operators show.
	PeerKeyFile     string
	OperatorKeyFile string
	// TargetCAFile switches TLS towards targets on. TargetCertFile and
	// TargetKeyFile are the certificate shown to them, TargetKeysFile the
	// bearer keys.
	TargetCAFile   string
	TargetCertFile string
	TargetKeyFile  string
	TargetKeysFile string
}

// Flags returns the command line flags of the settings, each with its
// environment variable.
func (s *Settings) Flags() []cli.Flag {
	return []cli.Flag{
		boolFlag("insecure", "PINETURN_INSECURE", "run without TLS and keys between hosts and for operators", &s.Insecure),
		fileFlag("tls-cert", "PINETURN_TLS_CERT", "PEM file of this host's certificate chain", &s.CertFile),
		fileFlag("tls-key", "PINETURN_TLS_KEY", "PEM file of this host's private key", &s.KeyFile),
		fileFlag("tls-ca", "PINETURN_TLS_CA", "PEM file of the authorities for hosts' certificates", &s.CAFile),
		boolFlag("tls-check-host", "PINETURN_TLS_CHECK_HOST",
			"hosts' certificates must hold the host's name, not its address", &s.CheckHost),
		fileFlag("peer-keys", "PINETURN_PEER_KEYS", "file of the keys that hosts share, one a line, the first one is used", &s.PeerKeyFile),
		fileFlag("operator-keys", "PINETURN_OPERATOR_KEYS", "file of the keys that operators may show, one a line", &s.OperatorKeyFile),
		fileFlag("target-tls-ca", "PINETURN_TARGET_TLS_CA",
			"PEM file of the authorities for targets' certificates; switches TLS towards targets on", &s.TargetCAFile),
		fileFlag("target-tls-cert", "PINETURN_TARGET_TLS_CERT", "PEM file of the certificate chain shown to targets", &s.TargetCertFile),
		fileFlag("target-tls-key", "PINETURN_TARGET_TLS_KEY", "PEM file of the private key for it", &s.TargetKeyFile),
		fileFlag("target-keys", "PINETURN_TARGET_KEYS",
			"file of the bearer keys for targets, one a line, the first one is used", &s.TargetKeysFile),
	}
}

// boolFlag returns a switch with its environment variable.
func boolFlag(name, variable, usage string, value *bool) cli.Flag {
	return &cli.BoolFlag{Name: name, Sources: cli.EnvVars(variable), Usage: usage, Destination: value}
}

// fileFlag returns a file's flag with its environment variable.
func fileFlag(name, variable, usage string, value *string) cli.Flag {
	return &cli.StringFlag{Name: name, Sources: cli.EnvVars(variable), Usage: usage, Destination: value, TakesFile: true}
}

// Credentials is what the settings lead to. Parts that are switched off are nil.
type Credentials struct {
	hosts        *Certificates
	targets      *Certificates
	peerKeys     *Keys
	operatorKeys *Keys
	targetKeys   *Keys
	checkHost    bool
}

// Open reads the files. Call Check before, which names every fault.
func (s *Settings) Open(clk clock.Clock) (*Credentials, error) {
	out := &Credentials{checkHost: s.CheckHost}
	if !s.Insecure {
		if err := s.openHosts(out, clk); err != nil {
			return nil, err
		}
	}
	var err error
	if s.TargetCAFile != "" {
		pair := Files{Cert: s.TargetCertFile, Key: s.TargetKeyFile, CA: s.TargetCAFile}
		if out.targets, err = OpenCertificates(pair, clk); err != nil {
			return nil, err
		}
	}
	if s.TargetKeysFile != "" {
		if out.targetKeys, err = OpenKeys(s.TargetKeysFile, clk); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// openHosts reads the files for hosts and operators.
func (s *Settings) openHosts(out *Credentials, clk clock.Clock) error {
	var err error
	pair := Files{Cert: s.CertFile, Key: s.KeyFile, CA: s.CAFile}
	if out.hosts, err = OpenCertificates(pair, clk); err != nil {
		return err
	}
	if out.peerKeys, err = OpenKeys(s.PeerKeyFile, clk); err != nil {
		return err
	}
	out.operatorKeys, err = OpenKeys(s.OperatorKeyFile, clk)
	return err
}

// PeerServerTLS returns the configuration for accepting hosts, nil without TLS.
func (s *Credentials) PeerServerTLS() *tls.Config {
	if s.hosts == nil {
		return nil
	}
	return s.hosts.ServerConfig(tls.RequireAndVerifyClientCert)
}

// PeerClientTLS returns a function that gives the configuration for each new
// connection to a host. It is nil without TLS.
func (s *Credentials) PeerClientTLS() func() *tls.Config {
	switch {
	case s.hosts == nil:
		return nil
	case s.checkHost:
		return s.hosts.ClientConfigAnyName
	}
	return s.hosts.ClientConfig
}

// OperatorServerTLS returns the configuration for accepting operators, who show
// a key and need no certificate. It is nil without TLS.
func (s *Credentials) OperatorServerTLS() *tls.Config {
	if s.hosts == nil {
		return nil
	}
	return s.hosts.ServerConfig(tls.NoClientCert)
}

// CheckHost reports whether certificates are checked against hosts' names.
func (s *Credentials) CheckHost() bool { return s.checkHost && s.hosts != nil }

// PeerKeys returns the keys that hosts share, nil without.
func (s *Credentials) PeerKeys() *Keys { return s.peerKeys }

// OperatorKeys returns the keys that operators show, nil without.
func (s *Credentials) OperatorKeys() *Keys { return s.operatorKeys }

// TargetCertificates returns the certificates used towards targets, nil without TLS.
func (s *Credentials) TargetCertificates() *Certificates { return s.targets }

// TargetKeys returns the bearer keys for targets, nil without.
func (s *Credentials) TargetKeys() *Keys { return s.targetKeys }
