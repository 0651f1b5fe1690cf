package scenario

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Limits of waiting. They are far longer than anything takes, so that no
// verdict depends on the machine's speed.
const (
	limit     = 90 * time.Second
	pollEvery = 10 * time.Millisecond
	tailBytes = 4 << 10
)

// process is one started program. Its done channel is closed when it ended.
type process struct {
	cmd  *exec.Cmd
	log  string
	from int64
	done chan struct{}
	err  error
}

func start(ts *testscript.TestScript, neg bool, args []string) {
	ready := ""
	if len(args) > 2 && args[0] == "-ready" {
		ready, args = args[1], args[2:]
	}
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start [-ready URL] NAME PROGRAM ARG...")
	}
	begin(ts, args[0], ready, args[1:]...)
}

// begin starts a program under a name and waits until it is ready.
func begin(ts *testscript.TestScript, name, ready string, args ...string) {
	s := stateOf(ts)
	if old, ok := s.processes[name]; ok && old.alive() {
		ts.Fatalf("%s runs already", name)
	}
	started, err := launch(ts, s.work, name, args)
	ts.Check(err)
	s.processes[name] = started
	ts.Check(started.await(ready))
}

// launch starts a program of this module.
func launch(ts *testscript.TestScript, work, name string, args []string) (*process, error) {
	path := filepath.Join(work, name+".log")
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(programs, args[0]), args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = ts.MkAbs("."), file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &process{cmd: cmd, log: path, from: info.Size(), done: make(chan struct{})}
	go func() {
		defer close(started.done)
		started.err = cmd.Wait()
	}()
	return started, nil
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// await waits until the process is ready: until the URL answers 200, or with
// none until it has said where it listens.
func (p *process) await(url string) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollEvery) {
		if !p.alive() {
			return fmt.Errorf("%s ended: %w\n%s", p.cmd.Path, p.err, tail(p.log))
		}
		if url != "" && answers(url) || url == "" && p.listens() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready\n%s", p.cmd.Path, tail(p.log))
}

func (p *process) listens() bool {
	data, err := os.ReadFile(p.log)
	return err == nil && int64(len(data)) > p.from && bytes.Contains(data[p.from:], []byte("listening "))
}

func answers(url string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, _, err := ask(ctx, http.MethodGet, url, "")
	return err == nil && status == http.StatusOK
}

// tail returns the end of a file.
func tail(path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		return []byte(err.Error())
	}
	return data[max(0, len(data)-tailBytes):]
}

// named returns the running process that a command is about.
func named(ts *testscript.TestScript, neg bool, args []string) *process {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: COMMAND NAME")
	}
	found, ok := stateOf(ts).processes[args[0]]
	if !ok || !found.alive() {
		ts.Fatalf("%s doesn't run", args[0])
	}
	return found
}

func crash(ts *testscript.TestScript, neg bool, args []string) {
	named(ts, neg, args).kill()
}

// kill ends the process at once and waits for it.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func shutdown(ts *testscript.TestScript, neg bool, args []string) {
	found := named(ts, neg, args)
	ts.Check(found.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-found.done:
		if found.err != nil {
			ts.Fatalf("got %v, want exit status 0\n%s", found.err, tail(found.log))
		}
	case <-time.After(limit):
		ts.Fatalf("%s doesn't stop\n%s", args[0], tail(found.log))
	}
}

func freeze(ts *testscript.TestScript, neg bool, args []string) {
	found := named(ts, neg, args)
	ts.Check(found.cmd.Process.Signal(syscall.SIGSTOP))
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if found.stopped() {
			return
		}
	}
	ts.Fatalf("%s doesn't freeze", args[0])
}

// stopped reports whether the system says that the process is stopped.
func (p *process) stopped() bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	after := data[bytes.LastIndexByte(data, ')')+1:]
	return err == nil && bytes.HasPrefix(after, []byte(" T"))
}

func thaw(ts *testscript.TestScript, neg bool, args []string) {
	ts.Check(named(ts, neg, args).cmd.Process.Signal(syscall.SIGCONT))
}

// end kills what still runs, and logs the end of each process's output, which
// go test shows when the script failed.
func (s *state) end(t testscript.T) {
	var all error
	for _, name := range slices.Sorted(maps.Keys(s.processes)) {
		started := s.processes[name]
		if started.alive() {
			started.kill()
		}
		if started.err != nil {
			all = errors.Join(all, fmt.Errorf("%s: %w", name, started.err))
		}
		t.Log(fmt.Sprintf("end of %s.log:\n%s", name, tail(started.log)))
	}
	if all != nil {
		t.Log("ended with", all)
	}
}
