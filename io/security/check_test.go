package security_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pineturn/io/security"
)

// assertErrors checks that the errors are about these flags, in this order.
func assertErrors(t *testing.T, errs []error, want ...string) {
	t.Helper()
	got := make([]string, 0, len(errs))
	for _, err := range errs {
		flag, _, _ := strings.Cut(err.Error(), ":")
		got = append(got, flag)
	}
	if strings.Join(got, "|") != strings.Join(want, "|") {
		t.Errorf("got errors %q, want errors about %q", errs, want)
	}
}

func TestCheck(t *testing.T) {
	dir := t.TempDir()
	file := func(name string, data []byte, mode os.FileMode) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, data, mode); err != nil {
			t.Fatal(err)
		}
		return path
	}
	files := filesIn(dir)
	newAuthority(t).issue(files, "host-1", true)
	keys := file("keys", keyFile(1), 0o600)
	validSettings := func() security.Settings {
		return security.Settings{CertFile: files.Cert, PrivateKeyFile: files.Key, CAFile: files.CA, PeerKeysFile: keys, OperatorKeysFile: keys}
	}
	cases := map[string]struct {
		change func(s *security.Settings)
		want   []string
	}{
		"valid":       {func(*security.Settings) {}, nil},
		"nothing set": {func(s *security.Settings) { *s = security.Settings{} }, []string{"--tls-cert", "--tls-key", "--tls-ca", "--peer-keys", "--operator-keys"}},
		"insecure":    {func(s *security.Settings) { *s = security.Settings{Insecure: true} }, nil},
		"conflict": {func(s *security.Settings) {
			*s = security.Settings{Insecure: true, PeerKeysFile: keys, CheckHost: true}
		}, []string{"--peer-keys", "--tls-check-host"}},
		"no certificate":                 {func(s *security.Settings) { s.CertFile = keys }, []string{"--tls-cert"}},
		"no CA certificate":              {func(s *security.Settings) { s.CAFile = keys }, []string{"--tls-ca"}},
		"missing file":                   {func(s *security.Settings) { s.PeerKeysFile = filepath.Join(dir, "none") }, []string{"--peer-keys"}},
		"short key":                      {func(s *security.Settings) { s.PeerKeysFile = file("short", []byte("c2hvcnQ=\n"), 0o600) }, []string{"--peer-keys"}},
		"no key":                         {func(s *security.Settings) { s.PeerKeysFile = file("empty", []byte("# none\n"), 0o600) }, []string{"--peer-keys"}},
		"not base64":                     {func(s *security.Settings) { s.PeerKeysFile = file("bad", []byte("*\n"), 0o600) }, []string{"--peer-keys"}},
		"world-readable":                 {func(s *security.Settings) { s.OperatorKeysFile = file("open", keyFile(1), 0o644) }, []string{"--operator-keys"}},
		"target certificate without key": {func(s *security.Settings) { s.TargetCAFile, s.TargetCertFile = files.CA, files.Cert }, []string{"--target-tls-cert and --target-tls-key"}},
		"target key without TLS":         {func(s *security.Settings) { s.TargetBearerKeysFile = keys }, []string{"--target-tls-cert and --target-keys"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			settings := validSettings()
			test.change(&settings)
			assertErrors(t, settings.Check(), test.want...)
		})
	}
}

func TestFlags(t *testing.T) {
	for _, flag := range new(security.Settings).Flags() {
		if got := len(flag.Names()); got != 1 {
			t.Errorf("flag %v: got %d names, want 1", flag.Names(), got)
		}
	}
}
