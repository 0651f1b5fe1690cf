package pinectl

import (
	"context"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pinectl": func() {
			os.Exit(Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr))
		},
	})
}

// fakeKey finds a script's server.
type fakeKey struct{}

// TestScripts runs each script against a server of its own. "server MODE"
// says how it fails; "status N COMMAND" checks an exit status.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: startFake,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"server": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value(fakeKey{}).(*fake).set(args[0])
			},
			"status": checkStatus,
		},
	})
}

func startFake(env *testscript.Env) error {
	daemon := newFake()
	server := httptest.NewServer(daemon.handler())
	env.Defer(server.Close)
	env.Values[fakeKey{}] = daemon
	key := filepath.Join(env.WorkDir, ".key")
	env.Setenv("PINETURN_SERVER", server.URL)
	env.Setenv("PINETURN_KEY_FILE", key)
	env.Setenv("PINETURN_AUTHOR", "tester")
	return os.WriteFile(key, []byte("secret\n"), 0o600)
}

func checkStatus(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit status: got %d, want %d", got, want)
	}
}
