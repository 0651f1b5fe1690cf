package security

import (
	"fmt"
)

// Check returns all errors in the settings, including those of reading the files.
func (s *Settings) Check() []error {
	var errs []error
	add := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	for _, err := range s.checkHosts() {
		add(err)
	}
	if (s.TargetCertFile == "") != (s.TargetPrivateKeyFile == "") {
		add(fmt.Errorf("--target-tls-cert and --target-tls-key: must be set together"))
	}
	if s.TargetCAFile == "" && (s.TargetCertFile != "" || s.TargetBearerKeysFile != "") {
		add(fmt.Errorf("--target-tls-cert and --target-keys: require --target-tls-ca, because keys are sent over TLS only"))
	}
	add(checkKeyPair("--target-tls-cert", s.TargetCertFile, s.TargetPrivateKeyFile))
	add(checkCA("--target-tls-ca", s.TargetCAFile))
	add(checkKeys("--target-keys", s.TargetBearerKeysFile))
	return errs
}

// checkHosts returns the errors in the settings for hosts and operators.
func (s *Settings) checkHosts() []error {
	var errs []error
	for _, file := range []struct{ flag, value string }{
		{"--tls-cert", s.CertFile},
		{"--tls-key", s.PrivateKeyFile},
		{"--tls-ca", s.CAFile},
		{"--peer-keys", s.PeerKeysFile},
		{"--operator-keys", s.OperatorKeysFile},
	} {
		switch {
		case s.Insecure && file.value != "":
			errs = append(errs, fmt.Errorf("%s: cannot be combined with --insecure", file.flag))
		case !s.Insecure && file.value == "":
			errs = append(errs, fmt.Errorf("%s: required unless --insecure is set", file.flag))
		}
	}
	if s.Insecure && s.CheckHost {
		errs = append(errs, fmt.Errorf("--tls-check-host: cannot be combined with --insecure"))
	}
	for _, err := range []error{
		checkKeyPair("--tls-cert", s.CertFile, s.PrivateKeyFile),
		checkCA("--tls-ca", s.CAFile),
		checkKeys("--peer-keys", s.PeerKeysFile),
		checkKeys("--operator-keys", s.OperatorKeysFile),
	} {
		if err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// checkKeyPair returns the error of reading a certificate and its key, if both are set.
func checkKeyPair(flag, cert, key string) error {
	if cert == "" || key == "" {
		return nil
	}
	_, err := loadKeyPair(cert, key)
	return wrap(flag, err)
}

// checkCA returns the error of reading CA certificates, if the file is set.
func checkCA(flag, file string) error {
	if file == "" {
		return nil
	}
	_, err := loadCA(file)
	return wrap(flag, err)
}

// checkKeys returns the error of reading shared keys, if the file is set.
func checkKeys(flag, file string) error {
	if file == "" {
		return nil
	}
	_, err := loadKeys(file)
	return wrap(flag, err)
}

// wrap adds the name of the flag to an error.
func wrap(flag string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", flag, err)
}
