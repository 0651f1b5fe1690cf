package pinectl

import (
	"os"
	"path/filepath"
	"testing"
)

// writeFile writes a file for a test and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestPlatformCheck guards against a status by which a script sends a configuration that hosts
// could not serve, and against a check that needs a host.
func TestPlatformCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string { return writeFile(t, dir, name, text) }
	route := func(service string) string {
		return `{"version":2,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_s":1,"service":"` + service + `"}],"services":[{"name":"s"}]}`
	}
	good, bad, malformed := write("good", route("s")), write("bad", route("t")), write("malformed", "{")
	for _, x := range []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"without findings", []string{good}, StatusOK, "0 errors, 0 warnings"},
		{"with an error", []string{bad}, StatusFailed, `service "t" does not exist`},
		{"malformed", []string{malformed}, StatusFailed, "line 1"},
		{"missing file", []string{filepath.Join(dir, "none")}, StatusUsage, "no such file"},
		{"changes", []string{"--in-force", bad, good}, StatusOK, "h/: requests go to s instead of t"},
		{"missing settings", []string{"--settings", filepath.Join(dir, "none"), good}, StatusUsage, "no such file"},
	} {
		t.Run(x.name, func(t *testing.T) {
			wantOutput(t, append([]string{"pinectl", "platform", "check"}, x.args...), x.status, x.want)
		})
	}
}
