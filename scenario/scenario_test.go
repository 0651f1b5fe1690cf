package scenario

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// parallel is how many scripts run at once.
const parallel = 3

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs once, and runs the tests.
func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "pineturn-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make folder for programs:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs = folder
	build := exec.CommandContext(context.Background(), "go", "build", "-o", folder+"/", "./cmd/...")
	build.Dir = ".."
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	red := knownRed(t)
	running := make(chan struct{}, parallel)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			if os.Getenv(runRed) == "" && red[scriptOf(env)] {
				env.T().Skip("known red, see KNOWN-RED.txt; " + runRed + "=1 runs it")
			}
			running <- struct{}{}
			env.Defer(func() { <-running })
			return setup(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"addr":     addr,
			"start":    start,
			"crash":    crash,
			"shutdown": shutdown,
			"freeze":   freeze,
			"thaw":     thaw,
			"get":      get,
			"post":     post,
			"put":      put,
			"until":    until,
			"cluster":  cluster,
			"host":     host,
			"target":   target,
			"fill":     fill,
		},
		RequireExplicitExec: true,
	})
}

// runRed is the environment variable that has known red scripts run too.
const runRed = "PINETURN_RUN_RED"

// knownRed returns the names of the scripts that KNOWN-RED.txt lists as
// "test: TestScenarios/NAME".
func knownRed(t *testing.T) map[string]bool {
	t.Helper()
	data, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	red := map[string]bool{}
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "test: TestScenarios/"); ok {
			red[name] = true
		}
	}
	return red
}

// scriptOf returns the name of the script that is set up, which testscript
// gives its folder.
func scriptOf(env *testscript.Env) string {
	return strings.TrimPrefix(filepath.Base(env.WorkDir), "script-")
}

// state is what a script holds besides testscript's own.
type state struct {
	work      string
	addresses *addresses
	processes map[string]*process
}

type stateKey struct{}

func setup(env *testscript.Env) error {
	s := &state{work: env.WorkDir, addresses: newAddresses(), processes: map[string]*process{}}
	env.Values[stateKey{}] = s
	env.Setenv("PATH", programs+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Defer(func() { s.end(env.T()) })
	return nil
}

func stateOf(ts *testscript.TestScript) *state { return ts.Value(stateKey{}).(*state) }

// addr sets variables to unused addresses.
func addr(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: addr NAME...")
	}
	for _, name := range args {
		address, err := stateOf(ts).addresses.next()
		ts.Check(err)
		ts.Setenv(name, address)
	}
}
