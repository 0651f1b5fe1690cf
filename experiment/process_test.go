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

	"pineturn/io/socket"
)

const (
	// timeout bounds each start and stop of a process and each request.
	timeout      = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	outEnv       = "PINETURN_EXPERIMENT_OUT"
)

// harness starts the programs of an experiment. They write to the folder out and
// listen on ip. The field port is the last port that address tried.
type harness struct {
	t        *testing.T
	programs string
	out      string
	ip       string
	port     int
}

// newHarness builds the programs and creates an empty output folder.
func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, programs: t.TempDir(), out: os.Getenv(outEnv), ip: fmt.Sprintf("127.9.%d.1", os.Getpid()%250), port: 11000}
	if h.out == "" {
		h.out = t.TempDir()
	}
	h.out = filepath.Join(h.out, t.Name())
	// Audits of an earlier run would be checked together with those of this one.
	h.check(os.RemoveAll(h.out))
	h.check(os.MkdirAll(h.out, 0o755))
	build := exec.Command("go", "build", "-o", h.programs+"/", "./cmd/...")
	build.Dir = ".."
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build programs: %v\n%s", err, output)
	}
	return h
}

func (h *harness) check(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// address returns an unused loopback address.
func (h *harness) address() string {
	h.t.Helper()
	for range 1000 {
		h.port++
		address := net.JoinHostPort(h.ip, fmt.Sprint(h.port))
		if free, err := socket.Unused(address); err == nil {
			return free
		}
	}
	h.t.Fatal("found no unused port in 1000 attempts")
	return ""
}

// start starts a program whose output goes to the file name.log. The program is
// stopped when the test ends, if it is still running.
func (h *harness) start(name, program string, args ...string) *exec.Cmd {
	h.t.Helper()
	file, err := os.Create(filepath.Join(h.out, name+".log"))
	h.check(err)
	cmd := exec.Command(filepath.Join(h.programs, program), args...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.check(cmd.Start())
	h.t.Cleanup(func() {
		h.stop(cmd)
		_ = file.Close()
	})
	return cmd
}

// stop stops a program with SIGTERM, or kills it after timeout.
func (h *harness) stop(cmd *exec.Cmd) {
	if cmd.ProcessState != nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	killer := time.AfterFunc(timeout, func() { _ = cmd.Process.Kill() })
	defer killer.Stop()
	_ = cmd.Wait()
}

// run runs a program until it exits and returns its output.
func (h *harness) run(program string, args ...string) string {
	h.t.Helper()
	output, err := exec.Command(filepath.Join(h.programs, program), args...).CombinedOutput()
	if err != nil {
		h.t.Errorf("%s %v: %v\n%s", program, args, err, output)
	}
	return string(output)
}

// until polls until the condition is met.
func (h *harness) until(what string, met func() bool) {
	h.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if met() {
			return
		}
	}
	h.t.Fatalf("not met in time: %s", what)
}

// waitOK polls a URL until it responds with status 200.
func (h *harness) waitOK(url string, header map[string]string) {
	h.t.Helper()
	last := ""
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		status, body := get(url, header)
		if status == http.StatusOK {
			return
		}
		last = fmt.Sprint(status, " ", body)
	}
	h.t.Fatalf("no response with status 200 in time from %s %v: last got %s", url, header, last)
}

// acceptsConn reports whether the address accepts a TCP connection.
func acceptsConn(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// get returns the status and the body of a response, or status 0 and the error
// text.
func get(url string, header map[string]string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Timeout: timeout}).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}
