package pinectl

import (
	"path/filepath"
	"testing"
)

// TestPlatformLosses guards against a cause that is in the log of another host than the caller's, and
// against logs that are left out.
func TestPlatformLosses(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string { return writeFile(t, dir, name, text) }
	first := write("first", `"Request ended" id="a" service="records" route="r1" via="10.0.0.2:1" relayed=false status=503 reason="refused-by-host"`+"\n")
	second := write("second", `"Request ended" id="a" service="records" route="r1" via="" relayed=true status=503 reason="no-room"`+"\n"+`"Log lines were dropped" failures=4`+"\n")
	for _, x := range []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"both hosts", []string{first, second}, StatusOK, "1         records  r1     503     no-room"},
		{"lines that were not written", []string{first, second}, StatusOK, "4 further lines"},
		{"one host", []string{first}, StatusOK, "refused-by-host"},
		{"no log", nil, StatusUsage, "want: FILE..."},
		{"missing file", []string{filepath.Join(dir, "none")}, StatusUsage, "no such file"},
	} {
		t.Run(x.name, func(t *testing.T) {
			wantOutput(t, append([]string{"pinectl", "platform", "losses"}, x.args...), x.status, x.want)
		})
	}
}
