package security

import (
	"fmt"
)

// Check returns every fault of the settings.
func (s *Settings) Check() []error {
	var faults []error
	add := func(err error) {
		if err != nil {
			faults = append(faults, err)
		}
	}
	for _, err := range s.checkHosts() {
		add(err)
	}
	if (s.TargetCertFile == "") != (s.TargetKeyFile == "") {
		add(fmt.Errorf("--target-tls-cert and --target-tls-key: set both or neither"))
	}
	if s.TargetCAFile == "" && (s.TargetCertFile != "" || s.TargetKeysFile != "") {
		add(fmt.Errorf("--target-tls-cert and --target-keys: need --target-tls-ca, keys are sent over TLS only"))
	}
	add(checkPair("--target-tls-cert", s.TargetCertFile, s.TargetKeyFile))
	add(checkCA("--target-tls-ca", s.TargetCAFile))
	add(checkKeys("--target-keys", s.TargetKeysFile))
	return faults
}

// checkHosts returns the faults of what concerns hosts and operators.
func (s *Settings) checkHosts() []error {
	var faults []error
	for _, file := range []struct{ flag, value string }{
		{"--tls-cert", s.CertFile},
		{"--tls-key", s.KeyFile},
		{"--tls-ca", s.CAFile},
		{"--peer-keys", s.PeerKeyFile},
		{"--operator-keys", s.OperatorKeyFile},
	} {
		switch {
		case s.Insecure && file.value != "":
			faults = append(faults, fmt.Errorf("%s: contradicts --insecure", file.flag))
		case !s.Insecure && file.value == "":
			faults = append(faults, fmt.Errorf("%s: missing, set it or --insecure", file.flag))
		}
	}
	if s.Insecure && s.CheckHost {
		faults = append(faults, fmt.Errorf("--tls-check-host: contradicts --insecure"))
	}
	for _, err := range []error{
		checkPair("--tls-cert", s.CertFile, s.KeyFile),
		checkCA("--tls-ca", s.CAFile),
		checkKeys("--peer-keys", s.PeerKeyFile),
		checkKeys("--operator-keys", s.OperatorKeyFile),
	} {
		if err != nil {
			faults = append(faults, err)
		}
	}
	return faults
}

// checkPair tries to read a certificate and its key when both are named.
func checkPair(flag, cert, key string) error {
	if cert == "" || key == "" {
		return nil
	}
	_, err := readPair(cert, key)
	return wrap(flag, err)
}

// checkCA tries to read authorities when they are named.
func checkCA(flag, file string) error {
	if file == "" {
		return nil
	}
	_, err := readCA(file)
	return wrap(flag, err)
}

// checkKeys tries to read keys when they are named.
func checkKeys(flag, file string) error {
	if file == "" {
		return nil
	}
	_, err := readKeys(file)
	return wrap(flag, err)
}

// wrap names the flag that an error belongs to.
func wrap(flag string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", flag, err)
}
