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

const (
	// timeout bounds each wait. It is far longer than any step takes, so that no
	// result depends on the speed of the machine.
	timeout      = 90 * time.Second
	pollInterval = 10 * time.Millisecond
	// logTailBytes is the length of the end of a log that is reported.
	logTailBytes = 4 << 10
)

// process is a started program. The done channel is closed when the program has
// exited; err is set before. The output of the program begins at logOffset in the
// log file, which it shares with earlier programs of the same name.
type process struct {
	cmd       *exec.Cmd
	log       string
	logOffset int64
	done      chan struct{}
	err       error
}

func start(ts *testscript.TestScript, neg bool, args []string) {
	ready := ""
	if len(args) > 2 && args[0] == "-ready" {
		ready, args = args[1], args[2:]
	}
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start [-ready URL] NAME PROGRAM ARG...")
	}
	startProcess(ts, args[0], ready, args[1:]...)
}

// startProcess starts a program under a name and waits until it is ready. With an
// empty ready URL, it waits for the listen address in the log.
func startProcess(ts *testscript.TestScript, name, ready string, args ...string) {
	s := scriptState(ts)
	if existing, ok := s.processes[name]; ok && existing.running() {
		ts.Fatalf("%s is already running", name)
	}
	started, err := newProcess(ts, s.work, name, args)
	ts.Check(err)
	s.processes[name] = started
	ts.Check(started.waitReady(ready))
}

// newProcess starts a program of this module.
func newProcess(ts *testscript.TestScript, work, name string, args []string) (*process, error) {
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
	started := &process{cmd: cmd, log: path, logOffset: info.Size(), done: make(chan struct{})}
	go func() {
		defer close(started.done)
		started.err = cmd.Wait()
	}()
	return started, nil
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// waitReady waits until the URL responds with status 200, or, if url is empty,
// until the process has logged its listen address.
func (p *process) waitReady(url string) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if !p.running() {
			return fmt.Errorf("%s exited: %w\n%s", p.cmd.Path, p.err, tail(p.log))
		}
		if url != "" && respondsOK(url) || url == "" && p.listening() {
			return nil
		}
	}
	return fmt.Errorf("%s not ready in time\n%s", p.cmd.Path, tail(p.log))
}

func (p *process) listening() bool {
	data, err := os.ReadFile(p.log)
	return err == nil && int64(len(data)) > p.logOffset && bytes.Contains(data[p.logOffset:], []byte("listening "))
}

func respondsOK(url string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, _, err := send(ctx, http.MethodGet, url, "")
	return err == nil && status == http.StatusOK
}

// tail returns the last logTailBytes of a file, or the error of reading it.
func tail(path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		return []byte(err.Error())
	}
	return data[max(0, len(data)-logTailBytes):]
}

// runningProcess returns the running process that a command names.
func runningProcess(ts *testscript.TestScript, neg bool, args []string) *process {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: COMMAND NAME")
	}
	found, ok := scriptState(ts).processes[args[0]]
	if !ok || !found.running() {
		ts.Fatalf("%s is not running", args[0])
	}
	return found
}

func crash(ts *testscript.TestScript, neg bool, args []string) {
	runningProcess(ts, neg, args).kill()
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func shutdown(ts *testscript.TestScript, neg bool, args []string) {
	found := runningProcess(ts, neg, args)
	ts.Check(found.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-found.done:
		if found.err != nil {
			ts.Fatalf("got %v, want exit status 0\n%s", found.err, tail(found.log))
		}
	case <-time.After(timeout):
		ts.Fatalf("%s did not exit after SIGTERM\n%s", args[0], tail(found.log))
	}
}

func freeze(ts *testscript.TestScript, neg bool, args []string) {
	found := runningProcess(ts, neg, args)
	ts.Check(found.cmd.Process.Signal(syscall.SIGSTOP))
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if found.stopped() {
			return
		}
	}
	ts.Fatalf("%s did not reach the stopped state after SIGSTOP", args[0])
}

// stopped reports whether the process is in the stopped state in /proc.
func (p *process) stopped() bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	after := data[bytes.LastIndexByte(data, ')')+1:]
	return err == nil && bytes.HasPrefix(after, []byte(" T"))
}

func thaw(ts *testscript.TestScript, neg bool, args []string) {
	ts.Check(runningProcess(ts, neg, args).cmd.Process.Signal(syscall.SIGCONT))
}

// stopAll kills all running processes and logs the end of each process's output,
// which go test prints if the script fails.
func (s *state) stopAll(t testscript.T) {
	var all error
	for _, name := range slices.Sorted(maps.Keys(s.processes)) {
		started := s.processes[name]
		if started.running() {
			started.kill()
		}
		if started.err != nil {
			all = errors.Join(all, fmt.Errorf("%s: %w", name, started.err))
		}
		t.Log(fmt.Sprintf("end of %s.log:\n%s", name, tail(started.log)))
	}
	if all != nil {
		t.Log("processes exited with errors:", all)
	}
}
