// Package soak runs hosts as separate processes between callers, targets and
// the store's stand-in, has faults and planned work fall on them by a seed, and
// checks what callers and targets see.
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

// Options are the size of a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Targets  int
	Callers  int
	// Programs is the folder of the built programs, Folder that of the logs.
	Programs string
	Folder   string
}

// Report is the outcome of a seed.
type Report struct {
	Seed   uint64
	Steps  int
	Broken []string
	Counts map[string]int
}

const (
	// warmTime is how long all runs before the first fault, recoverTime how
	// soon all is served again after the last one.
	warmTime    = 3 * time.Second
	recoverTime = 15 * time.Second
	// served is the number of requests in a row that show that all is served.
	served = 20
)

// Run plays a seed.
func Run(ctx context.Context, options Options) (Report, error) {
	steps := Plan(options.Seed, options.Duration)
	report := Report{Seed: options.Seed, Steps: len(steps)}
	folder := filepath.Join(options.Folder, fmt.Sprint("seed-", options.Seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return report, errors.Wrap(err, "make folder of logs")
	}
	judge := NewJudge()
	s, err := newSite(options, folder, judge)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return report, errors.Wrapf(err, "start seed %d", options.Seed)
	}
	for _, h := range s.hosts {
		if !h.process.await(startWithin, h.isReady) {
			return report, errors.Newf("host %d is not ready", h.number)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	running := s.callers(ctx)
	go s.settle(ctx)
	clock.Sleep(ctx, warmTime)
	if err := s.play(ctx, steps); err != nil {
		return report, errors.Wrapf(err, "play seed %d", options.Seed)
	}
	recovered := s.recovers(ctx)
	if err := ctx.Err(); err != nil {
		return report, errors.Wrapf(err, "play seed %d", options.Seed)
	}
	cancel()
	running.Wait()
	for _, t := range s.all() {
		t.process.kill()
	}
	judge.Settle(time.Now())
	judge.Finish()
	report.Broken, report.Counts = judge.Broken(), judge.Counts()
	if !recovered {
		report.Broken = append(report.Broken, fmt.Sprintf("not all is served %v after the last fault", recoverTime))
	}
	return report, nil
}

// settle has leases checked while all runs.
func (s *site) settle(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, settleTime)
		s.judge.Settle(time.Now().Add(-settleTime))
	}
}

// recovers reports whether requests in a row are served soon after the last
// fault.
func (s *site) recovers(ctx context.Context) bool {
	c := newCaller(s, s.options.Callers)
	defer c.client.CloseIdleConnections()
	row := 0
	for end := time.Now().Add(recoverTime); time.Now().Before(end) && ctx.Err() == nil; {
		if row == served {
			return true
		}
		if c.call(row%len(s.hosts)).Status == http.StatusOK {
			row++
		} else {
			row = 0
		}
	}
	return false
}
