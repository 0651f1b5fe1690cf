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

// maxParallelScripts is the maximum number of scripts that run at once.
const maxParallelScripts = 3

// programs is the path of the folder that holds the built programs.
var programs string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs and runs the tests.
func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "pineturn-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create folder for programs:", err)
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
	knownFailures := readKnownFailures(t)
	running := make(chan struct{}, maxParallelScripts)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			if os.Getenv(runRedEnv) == "" && knownFailures[scriptName(env)] {
				env.T().Skip("known red, see KNOWN-RED.txt; " + runRedEnv + "=1 runs it")
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

// runRedEnv is the environment variable that enables scripts listed in
// KNOWN-RED.txt.
const runRedEnv = "PINETURN_RUN_RED"

// readKnownFailures returns the names of the scripts that KNOWN-RED.txt lists as
// "test: TestScenarios/NAME".
func readKnownFailures(t *testing.T) map[string]bool {
	t.Helper()
	data, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	knownFailures := map[string]bool{}
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "test: TestScenarios/"); ok {
			knownFailures[name] = true
		}
	}
	return knownFailures
}

// scriptName returns the name of the script that is set up. testscript names the
// work folder script-NAME.
func scriptName(env *testscript.Env) string {
	return strings.TrimPrefix(filepath.Base(env.WorkDir), "script-")
}

// state is the state of a script that testscript does not hold.
type state struct {
	work      string
	addresses *addressAllocator
	processes map[string]*process
}

type stateKey struct{}

func setup(env *testscript.Env) error {
	s := &state{work: env.WorkDir, addresses: newAddressAllocator(), processes: map[string]*process{}}
	env.Values[stateKey{}] = s
	env.Setenv("PATH", programs+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Defer(func() { s.stopAll(env.T()) })
	return nil
}

func scriptState(ts *testscript.TestScript) *state { return ts.Value(stateKey{}).(*state) }

// addr sets variables to unused addresses.
func addr(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: addr NAME...")
	}
	for _, name := range args {
		address, err := scriptState(ts).addresses.next()
		ts.Check(err)
		ts.Setenv(name, address)
	}
}
