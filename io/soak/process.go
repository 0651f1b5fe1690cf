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

// process is one started program. Its done channel is closed when it has ended
// and its output was read to the end.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// launch starts a program with a variable of its environment. Its log is
// appended to a file; each line of its output is told, or goes to that file too
// where line is nil.
func launch(log string, line func([]byte), variable, program string, args ...string) (*process, error) {
	file, err := os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrapf(err, "open log of %s", program)
	}
	defer file.Close()
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Env = file, append(os.Environ(), variable)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out io.Reader = strings.NewReader("")
	if line == nil {
		cmd.Stdout = file
	} else if out, err = cmd.StdoutPipe(); err != nil {
		return nil, errors.Wrapf(err, "read from %s", program)
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", filepath.Base(program))
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go p.read(out, line)
	return p, nil
}

func (p *process) read(out io.Reader, line func([]byte)) {
	defer close(p.done)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		line(lines.Bytes())
	}
	// The exit status of a killed process tells nothing.
	_ = p.cmd.Wait()
}

// signal sends a signal, unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop ends the process in good order, or at once after a time.
func (p *process) stop(within time.Duration) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(within):
		p.kill()
	}
}

// await waits until something holds, and reports whether it did while the
// process ran.
func (p *process) await(within time.Duration, holds func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
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
