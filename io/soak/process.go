package soak

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a running program. done is closed when the process has ended and its
// output has been read to the end.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts a program with an additional environment variable, NAME=value
// or empty. Standard error is appended to the file logPath. onLine is called with
// each line of standard output; if it is nil, standard output is appended to the
// file as well.
func startProcess(logPath string, onLine func([]byte), env, program string, args ...string) (*process, error) {
	file, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrapf(err, "open log of %s", program)
	}
	defer file.Close()
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Env = file, append(os.Environ(), env)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out io.Reader = strings.NewReader("")
	if onLine == nil {
		cmd.Stdout = file
	} else if out, err = cmd.StdoutPipe(); err != nil {
		return nil, errors.Wrapf(err, "read from %s", program)
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", filepath.Base(program))
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go p.readOutput(out, onLine)
	return p, nil
}

func (p *process) readOutput(out io.Reader, onLine func([]byte)) {
	defer close(p.done)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		onLine(lines.Bytes())
	}
	// The exit status is ignored: it has no significance for a killed process.
	_ = p.cmd.Wait()
}

// signal sends a signal unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop stops the process gracefully, and kills it after timeout.
func (p *process) stop(timeout time.Duration) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.kill()
	}
}

// endsWithin waits for the end of the process, and reports whether it has ended.
func (p *process) endsWithin(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// waitUntil polls condition until it is met, the process has ended or timeout has
// passed, and reports whether the condition was met.
func (p *process) waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
		select {
		case <-p.done:
			return false
		default:
		}
	}
	return false
}
