// Package soak runs hosts as separate processes with callers, targets and a
// stand-in of the store, injects faults and planned operations determined by a
// seed, and checks the guarantees from the observations of callers and targets.
package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/clock"
)

// Options are the settings of a run. Faults start within Duration.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Targets  int
	Callers  int
	// ProgramFolder has the programs pineturnd and standin. Logs are written to
	// LogFolder.
	ProgramFolder string
	LogFolder     string
}

// Report is the result of the run of a seed. Steps is the number of steps. Counts
// has the number of responses by status and the number of runs.
type Report struct {
	Seed       uint64
	Steps      int
	Violations []string
	Counts     map[string]int
}

const (
	// warmUpTime is the time between the start of the callers and the steps.
	warmUpTime = 3 * time.Second
	// recoveryTimeout is the time after the last step within which requests must
	// be served again.
	recoveryTimeout = 15 * time.Second
	// recoveryRequests is the number of consecutive successful requests after
	// which the system counts as recovered.
	recoveryRequests = 20
)

// Run runs the steps of a seed and returns its report. An error means that the run
// could not be completed; violations are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	steps := GenerateSteps(options.Seed, options.Duration)
	report := Report{Seed: options.Seed, Steps: len(steps)}
	logFolder := filepath.Join(options.LogFolder, fmt.Sprint("seed-", options.Seed))
	if err := os.MkdirAll(logFolder, 0o755); err != nil {
		return report, errors.Wrap(err, "create log folder")
	}
	checker := NewChecker(options.Hosts)
	s, err := newSystem(options, logFolder, checker)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return report, errors.Wrapf(err, "start system of seed %d", options.Seed)
	}
	for _, h := range s.hosts {
		if !h.process.waitUntil(startTimeout, h.isReady) {
			return report, errors.Newf("host %d exited or did not become ready before the start timeout", h.number)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	running := s.startCallers(ctx)
	go s.checkLeases(ctx)
	clock.Sleep(ctx, warmUpTime)
	if err := s.runSteps(ctx, steps); err != nil {
		return report, errors.Wrapf(err, "run seed %d", options.Seed)
	}
	recovered := s.waitForRecovery(ctx)
	if err := ctx.Err(); err != nil {
		return report, errors.Wrapf(err, "run seed %d", options.Seed)
	}
	cancel()
	running.Wait()
	for _, t := range s.allTargets() {
		t.process.kill()
	}
	checker.CheckLeases(time.Now())
	checker.Finish()
	report.Violations, report.Counts = checker.Violations(), checker.Counts()
	if !recovered {
		report.Violations = append(report.Violations, fmt.Sprintf("requests are not served again %v after the last fault", recoveryTimeout))
	}
	return report, nil
}

// checkLeases checks the leases periodically until ctx ends.
func (s *system) checkLeases(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, eventDelay)
		s.checker.CheckLeases(time.Now().Add(-eventDelay))
	}
}

// waitForRecovery sends requests and reports whether recoveryRequests consecutive
// ones succeed within recoveryTimeout.
func (s *system) waitForRecovery(ctx context.Context) bool {
	c := newCaller(s, s.options.Callers)
	defer c.client.CloseIdleConnections()
	consecutive := 0
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		if consecutive == recoveryRequests {
			return true
		}
		if c.send(consecutive%len(s.hosts)).Status == http.StatusOK {
			consecutive++
		} else {
			consecutive = 0
		}
	}
	return false
}
