package security_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pineturn/io/security"
)

// assertFaults checks that the faults are about these flags, in this order.
func assertFaults(t *testing.T, faults []error, want ...string) {
	t.Helper()
	got := make([]string, 0, len(faults))
	for _, fault := range faults {
		flag, _, _ := strings.Cut(fault.Error(), ":")
		got = append(got, flag)
	}
	if strings.Join(got, "|") != strings.Join(want, "|") {
		t.Errorf("got faults %q, want faults of %q", faults, want)
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
	good := func() security.Settings {
		return security.Settings{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA, PeerKeyFile: keys, OperatorKeyFile: keys}
	}
	cases := map[string]struct {
		change func(s *security.Settings)
		want   []string
	}{
		"good":             {func(*security.Settings) {}, nil},
		"nothing set":      {func(s *security.Settings) { *s = security.Settings{} }, []string{"--tls-cert", "--tls-key", "--tls-ca", "--peer-keys", "--operator-keys"}},
		"insecure":         {func(s *security.Settings) { *s = security.Settings{Insecure: true} }, nil},
		"contradiction":    {func(s *security.Settings) { *s = security.Settings{Insecure: true, PeerKeyFile: keys, CheckHost: true} }, []string{"--peer-keys", "--tls-check-host"}},
		"no certificate":   {func(s *security.Settings) { s.CertFile = keys }, []string{"--tls-cert"}},
		"no authority":     {func(s *security.Settings) { s.CAFile = keys }, []string{"--tls-ca"}},
		"missing file":     {func(s *security.Settings) { s.PeerKeyFile = filepath.Join(dir, "none") }, []string{"--peer-keys"}},
		"short key":        {func(s *security.Settings) { s.PeerKeyFile = file("short", []byte("c2hvcnQ=\n"), 0o600) }, []string{"--peer-keys"}},
		"no key":           {func(s *security.Settings) { s.PeerKeyFile = file("empty", []byte("# none\n"), 0o600) }, []string{"--peer-keys"}},
		"not base64":       {func(s *security.Settings) { s.PeerKeyFile = file("bad", []byte("*\n"), 0o600) }, []string{"--peer-keys"}},
		"readable by all":  {func(s *security.Settings) { s.OperatorKeyFile = file("open", keyFile(1), 0o644) }, []string{"--operator-keys"}},
		"half target pair": {func(s *security.Settings) { s.TargetCAFile, s.TargetCertFile = files.CA, files.Cert }, []string{"--target-tls-cert and --target-tls-key"}},
		"plain target key": {func(s *security.Settings) { s.TargetKeysFile = keys }, []string{"--target-tls-cert and --target-keys"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			settings := good()
			test.change(&settings)
			assertFaults(t, settings.Check(), test.want...)
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
