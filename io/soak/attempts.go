package soak

import (
	"slices"

	"pineturn/io/standin/keyholder"
)

const (
	// maxAttempts is the number of targets on which one request may run by the configuration.
	maxAttempts = 2
	// attemptSlack is the number of requests that may run on more.
	attemptSlack = 3
)

// checkAttempts checks on how many targets requests have run. Targets that have ended or were paused
// don't count. The caller holds mu.
func (c *Checker) checkAttempts() {
	var exceeding []string
	for id, runs := range c.runs {
		targets := make(map[string]bool)
		for _, run := range runs {
			if !c.targetDisturbed(run) {
				targets[run.Target] = true
			}
		}
		if len(targets) > maxAttempts {
			exceeding = append(exceeding, id)
		}
	}
	if len(exceeding) > attemptSlack {
		slices.Sort(exceeding)
		c.addViolation("%d requests ran on more than %d targets, among them %s", len(exceeding), maxAttempts, exceeding[0])
	}
}

// targetDisturbed reports whether the target of a run ended or was paused within quietPeriod of it.
func (c *Checker) targetDisturbed(run keyholder.Run) bool {
	return slices.ContainsFunc(c.windows, func(w Window) bool {
		kind := w.Kind == TargetKill || w.Kind == RestartUnseen || w.Kind == TargetPause || w.Kind == TargetDrain || w.Kind == TargetLeave
		return kind && w.Target == run.Target && w.From.Before(run.At.Add(quietPeriod)) && w.To.After(run.At.Add(-quietPeriod))
	})
}
