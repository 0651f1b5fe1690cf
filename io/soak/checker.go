package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"pineturn/io/standin/keyholder"
)

// Time bounds of the guarantees.
const (
	// applyBound is the time after its publication within which a version of the
	// configuration is applied by all hosts.
	applyBound = 2 * time.Second
	// drainBound is the time after the start of a drain within which requests may
	// still be sent to the target.
	drainBound = 2 * time.Second
	// quietPeriod is the time after a fault during which the time bounds do not
	// apply.
	quietPeriod = 3 * time.Second
	// overlapTolerance is how long the leases of two targets on the same keys may
	// overlap, provided that at most one of the targets runs requests for these
	// keys in that time.
	overlapTolerance = 500 * time.Millisecond
	// resumeDelay is the time after a pause of a process within which grants that
	// the pause delayed arrive.
	resumeDelay = 300 * time.Millisecond
)

// Response is the result of one request as observed by a caller.
type Response struct {
	ID    string
	Route string
	// Once is set if the request must run at most once.
	Once bool
	Host int
	// Incarnation is the number of starts of the host when the request was sent.
	// Restarted is set if the host was started again during the request.
	Incarnation int
	Restarted   bool
	Sent, Ended time.Time
	// Behind is set for a request that was sent in one write with one before it, if that was answered.
	Behind bool
	// Status is 0 if there was no complete response.
	Status    int
	EchoedID  string
	Signature string
	Body      string
	// Version is the first version of the configuration that has the route, or 0
	// for a route of all versions.
	Version int
}

// notRun reports whether the status guarantees that the request did not run.
func (response Response) notRun() bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, response.Status)
}

// Window is the period of a fault or planned operation.
type Window struct {
	Kind Kind
	// Host is the number of the affected host, or -1.
	Host int
	// Target is the incarnation of the affected target, if any.
	Target   string
	From, To time.Time
}

// Checker verifies the guarantees from the observations of callers and targets. It
// is safe for concurrent use. The lock mu guards the fields below it: runs,
// responses and cancelled are by request id, published by version of the configuration,
// drainStarted by incarnation of a target, and served by number and
// incarnation of a host.
type Checker struct {
	// hosts is the number of hosts.
	hosts int

	mu           sync.Mutex
	runs         map[string][]keyholder.Run
	responses    map[string]Response
	cancelled    map[string]bool
	arrivals     []keyholder.Event
	leases       []*lease
	windows      []Window
	published    map[int]time.Time
	drainStarted map[string]time.Time
	domainDrains []domainDrain
	// served holds when a response by each version was first received.
	served     map[[2]int]map[int]time.Time
	violations []string
	counts     map[string]int
}

// NewChecker returns a checker for a number of hosts, without observations.
func NewChecker(hosts int) *Checker {
	return &Checker{
		hosts: hosts,
		runs:  make(map[string][]keyholder.Run), responses: make(map[string]Response), cancelled: make(map[string]bool), published: make(map[int]time.Time),
		drainStarted: make(map[string]time.Time), served: make(map[[2]int]map[int]time.Time), counts: make(map[string]int),
	}
}

// SetWindow records a window. It is called before the window starts, with an
// estimated end, and again with the actual end, which replaces the estimate.
func (c *Checker) SetWindow(w Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, existing := range c.windows {
		if existing.Kind == w.Kind && existing.Host == w.Host && existing.Target == w.Target && existing.From.Equal(w.From) {
			c.windows[i] = w
			return
		}
	}
	c.windows = append(c.windows, w)
}

// ConfigPublished records the time at which the store accepted a version of the
// configuration.
func (c *Checker) ConfigPublished(version int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.published[version] = at
}

// DrainStarted records the time at which the store accepted the entry that marks a
// target as draining.
func (c *Checker) DrainStarted(target string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainStarted[target] = at
}

// TargetEnded records the time at which a target ended and its leases with it.
func (c *Checker) TargetEnded(target string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.leases {
		if l.Target == target && l.ended.IsZero() {
			l.ended = at
		}
	}
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Counts returns the number of responses by status and the number of runs.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.counts))
	for name, n := range c.counts {
		counts[name] = n
	}
	return counts
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// faultFree reports whether there was no fault between from and to, nor within
// quietPeriod before.
func (c *Checker) faultFree(from, to time.Time) bool {
	return !slices.ContainsFunc(c.windows, func(w Window) bool {
		return !w.Kind.Planned() && w.From.Before(to) && w.To.After(from.Add(-quietPeriod))
	})
}

// AddEvent adds an event of a target. The events of a target must be added in
// order.
func (c *Checker) AddEvent(e keyholder.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e.Kind {
	case keyholder.Arrived:
		c.arrivals = append(c.arrivals, e)
	case keyholder.Began:
		c.addRun(*e.Run)
	case keyholder.Cancelled:
		c.cancelled[e.ID] = true
	case keyholder.Granted:
		c.addGrant(e)
	case keyholder.Released:
		c.addRelease(e)
	}
}

func (c *Checker) addRun(run keyholder.Run) {
	c.counts["runs"]++
	c.runs[run.ID] = append(c.runs[run.ID], run)
	c.checkDomainDrains(run)
	at, draining := c.drainStarted[run.Target]
	if draining && run.At.After(at.Add(drainBound)) && c.faultFree(at, run.At) {
		c.addViolation("request %s reached target %s %v after the start of its drain", run.ID, run.Target, run.At.Sub(at))
	}
}

// AddResponse adds the response that a caller received.
func (c *Checker) AddResponse(response Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprintf("status %d", response.Status)]++
	c.responses[response.ID] = response
	switch {
	case response.Status == http.StatusOK:
		c.checkComplete(response)
	case response.Status == http.StatusNotFound && !response.Restarted:
		c.checkApplied(response)
	}
	if response.Status == http.StatusOK && !response.Restarted {
		c.recordServed(response)
	}
}

func (c *Checker) recordServed(response Response) {
	incarnation := [2]int{response.Host, response.Incarnation}
	if c.served[incarnation] == nil {
		c.served[incarnation] = make(map[int]time.Time)
	}
	if _, ok := c.served[incarnation][response.Version]; !ok {
		c.served[incarnation][response.Version] = response.Ended
	}
}

// servedBefore reports whether the host of a request had responded by its version, or a later one, before the
// request was sent.
func (c *Checker) servedBefore(response Response) bool {
	for version, at := range c.served[[2]int{response.Host, response.Incarnation}] {
		if version >= response.Version && at.Before(response.Sent) {
			return true
		}
	}
	return false
}

func (c *Checker) checkComplete(response Response) {
	if response.EchoedID != response.ID || response.Signature != keyholder.Signature(response.ID) {
		c.addViolation("request %s received the response to %s, signature %q", response.ID, response.EchoedID, response.Signature)
		return
	}
	if !strings.HasSuffix(response.Body, keyholder.Body("", response.ID)) {
		c.addViolation("request %s received the body %q", response.ID, response.Body)
	}
}

func (c *Checker) checkApplied(response Response) {
	if c.servedBefore(response) {
		c.addViolation("host %d reverted to a version before %d: request %s found no route %s", response.Host, response.Version, response.ID, response.Route)
		return
	}
	published, ok := c.published[response.Version]
	if ok && response.Sent.After(published.Add(applyBound)) && c.faultFree(published, response.Ended) && !c.hostRestarted(response) {
		c.addViolation("host %d had not applied version %d %v after it was published", response.Host, response.Version, response.Sent.Sub(published))
	}
}

// hostRestarted reports whether the host of a request was restarted gracefully
// during the request or within quietPeriod before.
func (c *Checker) hostRestarted(response Response) bool {
	return slices.ContainsFunc(c.windows, func(w Window) bool {
		return w.Kind == HostStop && w.Host == response.Host && w.From.Before(response.Ended) && w.To.After(response.Sent.Add(-quietPeriod))
	})
}

// Finish checks the guarantees that require the complete history. It is called
// after all callers and targets have ended.
func (c *Checker) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkRetries()
	c.checkLimits()
	c.checkDepartures()
	c.checkRests()
	c.checkAttempts()
	for id, response := range c.responses {
		runs := c.runs[id]
		c.checkBehind(response)
		if response.Once && len(runs) > 1 {
			c.addViolation("request %s must run at most once but ran %d times", id, len(runs))
		}
		if response.Once && response.notRun() && len(runs) > 0 {
			c.addViolation("request %s was refused with status %d but ran on %s", id, response.Status, runs[0].Target)
		}
		if response.Status == 0 && len(runs) > 0 && c.onlyHostStop(response, runs) {
			c.addViolation("request %s ran on %s but was aborted by the graceful stop of host %d", id, runs[0].Target, response.Host)
		}
		if response.Status == http.StatusBadGateway && c.cancelled[id] && c.onlyHostStop(response, runs) && c.faultFree(response.Sent, response.Ended) {
			c.addViolation("request %s ran on %s but was given up by the graceful stop of host %d", id, runs[0].Target, response.Host)
		}
	}
}

// onlyHostStop reports whether a graceful stop of its host was in progress during a
// request or within quietPeriod before, and no fault affected the host or the
// targets of the request in that time.
func (c *Checker) onlyHostStop(response Response, runs []keyholder.Run) bool {
	stopped := false
	for _, w := range c.windows {
		if !w.From.Before(response.Ended) || !w.To.After(response.Sent.Add(-quietPeriod)) {
			continue
		}
		affected := w.Host == response.Host || w.Kind == AllHostsKill ||
			slices.ContainsFunc(runs, func(r keyholder.Run) bool { return r.Target == w.Target })
		switch {
		case w.Kind == HostStop && w.Host == response.Host:
			stopped = true
		case affected && !w.Kind.Planned():
			return false
		}
	}
	return stopped
}
