// Package logtest captures the logs of tests.
package logtest

import (
	"flag"
	"io"
	"strings"
	"sync"
	"testing"

	"k8s.io/klog/v2"
)

// Severities of log lines. Capture returns those of a severity and above.
const (
	Info  = "INFO"
	Error = "ERROR"
)

// Capture returns a function that returns what is logged from now on, and until the test ends, with a
// severity or a higher one.
func Capture(t testing.TB, severity string) (logged func() string) {
	t.Helper()
	var mu sync.Mutex
	var text strings.Builder
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("logtostderr", "false"); err != nil {
		t.Fatal(err)
	}
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity(severity, writer(func(data []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return text.Write(data)
	}))
	t.Cleanup(func() { _ = flags.Set("logtostderr", "true") })
	return func() string {
		klog.Flush()
		mu.Lock()
		defer mu.Unlock()
		return text.String()
	}
}

type writer func([]byte) (int, error)

func (w writer) Write(data []byte) (int, error) { return w(data) }
