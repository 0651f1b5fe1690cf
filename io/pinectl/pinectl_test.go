package pinectl

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/pem"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"pineturn/core/clock"
	"pineturn/io/security"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pinectl": func() {
			os.Exit(Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr))
		},
	})
}

// fakeDaemonKey is the key of a script's fake daemon in testscript.Env.Values.
type fakeDaemonKey struct{}

// TestScripts runs each script against its own fake daemon. "server MODE" sets how
// the fake daemon fails. "status N COMMAND" runs a command and checks its exit
// status.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: startFakeDaemon,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"server": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value(fakeDaemonKey{}).(*fakeDaemon).setMode(args[0])
			},
			"status": checkStatus,
		},
	})
}

func startFakeDaemon(env *testscript.Env) error {
	keys := filepath.Join(env.WorkDir, ".keys")
	wrong := filepath.Join(env.WorkDir, ".wrong")
	authority := filepath.Join(env.WorkDir, ".authority")
	if err := errors.Join(writeKey(keys, 1), writeKey(wrong, 2)); err != nil {
		return err
	}
	accepted, err := security.OpenKeys(keys, clock.System{})
	if err != nil {
		return err
	}
	daemon := newFakeDaemon(accepted)
	server := httptest.NewTLSServer(daemon.handler())
	env.Defer(server.Close)
	env.Values[fakeDaemonKey{}] = daemon
	env.Setenv("PINETURN_SERVER", server.URL)
	env.Setenv("PINETURN_OPERATOR_KEYS", keys)
	env.Setenv("PINETURN_TLS_CA", authority)
	env.Setenv("PINETURN_AUTHOR", "tester")
	block := pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	return os.WriteFile(authority, pem.EncodeToMemory(&block), 0o600)
}

// writeKey writes a file with one key of 32 equal bytes.
func writeKey(file string, value byte) error {
	key := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{value}, 32))
	return os.WriteFile(file, []byte(key), 0o600)
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
