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

// Bounds of the promises.
const (
	// applyTime is how soon a version is in force, drainTime how soon a leaving
	// target gets no more requests.
	applyTime = 2 * time.Second
	drainTime = 2 * time.Second
	// calmTime is the time without a fault after which bounds in time hold.
	calmTime = 3 * time.Second
	// shareTime is how long two targets may have the same keys when neither
	// runs a request for them.
	shareTime = 500 * time.Millisecond
	// resumeTime is the time after a pause in which orders that were held up on
	// their way arrive.
	resumeTime = 300 * time.Millisecond
)

// Answer is what a caller saw of one request.
type Answer struct {
	ID    string
	Route string
	// Once requests may run at most once.
	Once bool
	Host int
	// Life counts the starts of the host, Restarted says that it was started
	// while the request was under way.
	Life        int
	Restarted   bool
	Sent, Ended time.Time
	// Status is 0 where the connection ended without an answer.
	Status    int
	EchoedID  string
	Signature string
	Body      string
	// Version is the version of the configuration that has the route first.
	Version int
}

// notRun reports whether the answer promises that the request has not run.
func (a Answer) notRun() bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, a.Status)
}

// Window is a time in which a fault or planned work was under way.
type Window struct {
	Kind Kind
	// Host is the number of the host that it concerns, or -1.
	Host int
	// Target is the id of the target that it concerns, if any.
	Target   string
	From, To time.Time
}

// Judge checks the promises from what callers and targets saw.
type Judge struct {
	mu      sync.Mutex
	runs    map[string][]keyholder.Run
	answers map[string]Answer
	leases  []*held
	windows []Window
	acked   map[int]time.Time
	drained map[string]time.Time
	newest  map[[2]int]int
	broken  []string
	counts  map[string]int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{
		runs: make(map[string][]keyholder.Run), answers: make(map[string]Answer), acked: make(map[int]time.Time),
		drained: make(map[string]time.Time), newest: make(map[[2]int]int), counts: make(map[string]int),
	}
}

// Under notes a window. It is told before the window begins, and again once its
// end is known.
func (j *Judge) Under(w Window) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, known := range j.windows {
		if known.Kind == w.Kind && known.Host == w.Host && known.Target == w.Target && known.From.Equal(w.From) {
			j.windows[i] = w
			return
		}
	}
	j.windows = append(j.windows, w)
}

// Acked notes that the store has a version of the configuration.
func (j *Judge) Acked(version int, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.acked[version] = at
}

// Drained notes that the store has a target's notice that it leaves.
func (j *Judge) Drained(target string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drained[target] = at
}

// Ended notes that a target is gone with all its leases.
func (j *Judge) Ended(target string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, h := range j.leases {
		if h.Target == target && h.ended.IsZero() {
			h.ended = at
		}
	}
}

// Broken returns the promises that were broken so far.
func (j *Judge) Broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.broken)
}

// Counts returns how many answers of each status and how many runs were seen.
func (j *Judge) Counts() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[string]int, len(j.counts))
	for name, n := range j.counts {
		counts[name] = n
	}
	return counts
}

func (j *Judge) breaks(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

// calm reports whether no fault was there in a time and for calmTime before it.
func (j *Judge) calm(from, to time.Time) bool {
	return !slices.ContainsFunc(j.windows, func(w Window) bool {
		return !w.Kind.Planned() && w.From.Before(to) && w.To.After(from.Add(-calmTime))
	})
}

// Event takes what a target did. The events of each target come in their order.
func (j *Judge) Event(e keyholder.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch e.Kind {
	case keyholder.Began:
		j.began(*e.Run)
	case keyholder.Granted:
		j.granted(e)
	case keyholder.Released:
		j.released(e)
	}
}

func (j *Judge) began(run keyholder.Run) {
	j.counts["runs"]++
	j.runs[run.ID] = append(j.runs[run.ID], run)
	at, leaving := j.drained[run.Target]
	if leaving && run.At.After(at.Add(drainTime)) && j.calm(at, run.At) {
		j.breaks("request %s reached target %s %v after it was known to leave", run.ID, run.Target, run.At.Sub(at))
	}
}

// Answer takes what a caller saw.
func (j *Judge) Answer(a Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[fmt.Sprintf("status %d", a.Status)]++
	j.answers[a.ID] = a
	switch {
	case a.Status == http.StatusOK:
		j.checkWhole(a)
	case a.Status == http.StatusNotFound && !a.Restarted:
		j.checkInForce(a)
	}
	if life := [2]int{a.Host, a.Life}; a.Status == http.StatusOK && !a.Restarted && a.Version > j.newest[life] {
		j.newest[life] = a.Version
	}
}

func (j *Judge) checkWhole(a Answer) {
	if a.EchoedID != a.ID || a.Signature != keyholder.Signature(a.ID) {
		j.breaks("request %s got the answer of %s, signed %q", a.ID, a.EchoedID, a.Signature)
		return
	}
	if !strings.HasSuffix(a.Body, keyholder.Body("", a.ID)) {
		j.breaks("request %s got the body %q", a.ID, a.Body)
	}
}

func (j *Judge) checkInForce(a Answer) {
	if a.Version <= j.newest[[2]int{a.Host, a.Life}] {
		j.breaks("host %d went back before version %d, as request %s found no route %s", a.Host, a.Version, a.ID, a.Route)
		return
	}
	acked, ok := j.acked[a.Version]
	if ok && a.Sent.After(acked.Add(applyTime)) && j.calm(acked, a.Ended) && !j.restarted(a) {
		j.breaks("host %d had version %d not in force %v after it was written", a.Host, a.Version, a.Sent.Sub(acked))
	}
}

// restarted reports whether a request's host was started or stopped shortly
// before.
func (j *Judge) restarted(a Answer) bool {
	return slices.ContainsFunc(j.windows, func(w Window) bool {
		return w.Kind == HostStop && w.Host == a.Host && w.From.Before(a.Ended) && w.To.After(a.Sent.Add(-calmTime))
	})
}

// Finish checks what is known only when all has ended.
func (j *Judge) Finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, a := range j.answers {
		runs := j.runs[id]
		if a.Once && len(runs) > 1 {
			j.breaks("request %s may run once and ran %d times", id, len(runs))
		}
		if a.Once && a.notRun() && len(runs) > 0 {
			j.breaks("request %s was refused with %d and ran at %s", id, a.Status, runs[0].Target)
		}
		if a.Status == 0 && len(runs) > 0 && j.onlyStopped(a, runs) {
			j.breaks("request %s ran at %s and was cut by the planned stop of host %d", id, runs[0].Target, a.Host)
		}
	}
}

// onlyStopped reports whether a request's host was stopped in good order while
// it was under way, and nothing else was wrong with it and its targets.
func (j *Judge) onlyStopped(a Answer, runs []keyholder.Run) bool {
	stopped := false
	for _, w := range j.windows {
		if !w.From.Before(a.Ended) || !w.To.After(a.Sent.Add(-calmTime)) {
			continue
		}
		concerned := w.Host == a.Host || w.Kind == AllHostsKill ||
			slices.ContainsFunc(runs, func(r keyholder.Run) bool { return r.Target == w.Target })
		switch {
		case w.Kind == HostStop && w.Host == a.Host:
			stopped = true
		case concerned && !w.Kind.Planned():
			return false
		}
	}
	return stopped
}
