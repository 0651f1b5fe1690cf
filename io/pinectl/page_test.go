package pinectl

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// TestPage checks that OPERATIONS.md lists every setting with its environment
// variables, every command with its flags, and every exit status.
func TestPage(t *testing.T) {
	content, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	root := (&invocation{}).command()
	want := []string{"| 0 | done |"}
	for _, flag := range root.Flags {
		want = append(want, "`--"+flag.Names()[0]+" ")
		for _, variable := range flag.(cli.DocGenerationFlag).GetEnvVars() {
			want = append(want, "`"+variable+"`")
		}
	}
	for status := StatusFailed; status <= StatusNotInForce; status++ {
		want = append(want, fmt.Sprintf("\n| %d | ", status))
	}
	for _, command := range root.Commands {
		want = append(want, "`"+command.Name)
		for _, flag := range command.Flags {
			want = append(want, "--"+flag.Names()[0])
		}
	}
	for _, text := range want {
		if !strings.Contains(string(content), text) {
			t.Errorf("page: got no %q, want it", text)
		}
	}
}
