//go:build experiment

package experiment

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const (
	// limit is how long anything may take to start or to stop.
	limit     = 60 * time.Second
	pollEvery = 20 * time.Millisecond
	outEnv    = "PINETURN_EXPERIMENT_OUT"
)

// bench is the programs and the folder that an experiment writes to.
type bench struct {
	t        *testing.T
	programs string
	out      string
	ip       string
	port     int
}

// newBench builds the programs.
func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, programs: t.TempDir(), out: os.Getenv(outEnv), ip: fmt.Sprintf("127.9.%d.1", os.Getpid()%250), port: 11000}
	if b.out == "" {
		b.out = t.TempDir()
	}
	b.out = filepath.Join(b.out, t.Name())
	// Audits of an earlier run would be judged together with those of this one.
	b.check(os.RemoveAll(b.out))
	b.check(os.MkdirAll(b.out, 0o755))
	build := exec.Command("go", "build", "-o", b.programs+"/", "./cmd/...")
	build.Dir = ".."
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build programs: %v\n%s", err, output)
	}
	return b
}

func (b *bench) check(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}

// address returns an unused loopback address.
func (b *bench) address() string {
	b.t.Helper()
	for range 1000 {
		b.port++
		address := net.JoinHostPort(b.ip, fmt.Sprint(b.port))
		if listener, err := net.Listen("tcp", address); err == nil {
			b.check(listener.Close())
			return address
		}
	}
	b.t.Fatal("no unused address")
	return ""
}

// start starts a program; its output goes to a file of the given name. It is
// stopped when the test ends, if not before.
func (b *bench) start(name, program string, args ...string) *exec.Cmd {
	b.t.Helper()
	file, err := os.Create(filepath.Join(b.out, name+".log"))
	b.check(err)
	cmd := exec.Command(filepath.Join(b.programs, program), args...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	b.check(cmd.Start())
	b.t.Cleanup(func() {
		b.stop(cmd)
		_ = file.Close()
	})
	return cmd
}

// stop ends a program in good order, or kills it when it takes too long.
func (b *bench) stop(cmd *exec.Cmd) {
	if cmd.ProcessState != nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	killer := time.AfterFunc(limit, func() { _ = cmd.Process.Kill() })
	defer killer.Stop()
	_ = cmd.Wait()
}

// run runs a program to its end and returns its output.
func (b *bench) run(program string, args ...string) string {
	b.t.Helper()
	output, err := exec.Command(filepath.Join(b.programs, program), args...).CombinedOutput()
	if err != nil {
		b.t.Errorf("%s %v: %v\n%s", program, args, err, output)
	}
	return string(output)
}

// until waits for a condition.
func (b *bench) until(what string, met func() bool) {
	b.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollEvery) {
		if met() {
			return
		}
	}
	b.t.Fatalf("waited in vain: %s", what)
}

// answers waits until a URL answers with 200.
func (b *bench) answers(url string, header map[string]string) {
	b.t.Helper()
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollEvery) {
		status, body := get(url, header)
		if status == http.StatusOK {
			return
		}
		last = fmt.Sprint(status, " ", body)
	}
	b.t.Fatalf("waited in vain for %s %v: %s", url, header, last)
}

func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// get returns the status and the body of an answer, or what went wrong.
func get(url string, header map[string]string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	answer, err := (&http.Client{Timeout: limit}).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(body)
}
