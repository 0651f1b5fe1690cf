package soak

import (
	"context"
	"strings"
	"syscall"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/io/standin/link"
	"pineturn/io/standin/platformstore"
)

// runSteps runs each step at its start time, and returns when the last one has
// ended. It returns the first error.
func (s *system) runSteps(ctx context.Context, steps []Step) error {
	start := time.Now()
	ended := make(chan error, len(steps))
	for _, step := range steps {
		go func() {
			clock.Sleep(ctx, time.Until(start.Add(step.Start)))
			ended <- s.runStep(ctx, step)
		}()
	}
	var first error
	for range steps {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// withWindow calls run and records the window in which it runs. Until run returns,
// the window is assumed to end after maxDuration.
func (s *system) withWindow(w Window, maxDuration time.Duration, run func() error) error {
	w.From = time.Now()
	w.To = w.From.Add(maxDuration)
	s.checker.SetWindow(w)
	err := run()
	w.To = time.Now()
	s.checker.SetWindow(w)
	return err
}

func (s *system) runStep(ctx context.Context, step Step) error {
	h := s.hosts[step.Index%len(s.hosts)]
	hostWindow := Window{Kind: step.Kind, Host: h.number}
	systemWindow := Window{Kind: step.Kind, Host: -1}
	maxDuration := step.Length + startTimeout + stopTimeout
	switch step.Kind {
	case HostStop, HostKill:
		return s.withWindow(hostWindow, maxDuration, func() error { return s.restartHost(ctx, h, step) })
	case AllHostsKill:
		return s.withWindow(systemWindow, maxDuration, func() error { return s.restartAllHosts(ctx, step) })
	case HostPause:
		return s.withWindow(hostWindow, maxDuration, func() error {
			h.signal(syscall.SIGSTOP)
			clock.Sleep(ctx, step.Length)
			h.signal(syscall.SIGCONT)
			return nil
		})
	case HostReload:
		return s.reloadHost(h)
	case PublishConfig:
		return s.publishConfig()
	case TargetDrain, TargetKill, TargetPause, TargetLimit, TargetLeave, TargetRest:
		return s.runTargetStep(ctx, step, maxDuration)
	case EntryOfOther:
		s.putEntriesOfOther(ctx, step)
		return nil
	case RestartUnseen:
		return s.restartUnseen(ctx, step)
	case DomainDrain:
		return s.withWindow(systemWindow, maxDuration, func() error { return s.drainDomain(ctx, step) })
	case ServiceLose:
		return s.withWindow(systemWindow, maxDuration, func() error { s.loseResponses(ctx, step); return nil })
	case LinkCut, LinkSilent, LinkStall, LinkSlow:
		return s.withWindow(hostWindow, maxDuration, func() error { return injectLinkFault(ctx, h.link, step) })
	case StoreExpire:
		return s.withWindow(systemWindow, 0, func() error { s.store.ExpireAll(); return nil })
	case StoreRebalance:
		return s.withWindow(systemWindow, 0, func() error { s.store.Rebalance(); return nil })
	default:
		return s.withWindow(systemWindow, maxDuration, func() error {
			s.store.SetFault(storeFaults[step.Kind])
			clock.Sleep(ctx, step.Length)
			s.store.SetFault(platformstore.Fault{})
			return nil
		})
	}
}

var storeFaults = map[Kind]platformstore.Fault{
	StoreBusy:   {Mode: "busy"},
	StoreReset:  {Mode: "reset"},
	StoreSilent: {Mode: "silent"},
	StoreLost:   {Lost: 0.3, Late: 0.2, LateBy: time.Second, Delay: 20 * time.Millisecond},
}

func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.signal(signal)
}

// reloadTime is the time within which a process ends if a signal to reload ends it.
const reloadTime = 300 * time.Millisecond

// reloadHost makes a host reload its settings. A process that has just started does not
// handle the signal yet and ends; the platform starts it again.
func (s *system) reloadHost(h *host) error {
	h.mu.Lock()
	p := h.process
	h.mu.Unlock()
	p.signal(syscall.SIGHUP)
	if !p.endsWithin(reloadTime) {
		return nil
	}
	window := Window{Kind: HostKill, Host: h.number}
	return s.withWindow(window, startTimeout, func() error { return s.startHost(h, p) })
}

// restartHost stops or kills a host and starts it again after the length of the
// step.
func (s *system) restartHost(ctx context.Context, h *host, step Step) error {
	h.mu.Lock()
	p := h.process
	h.mu.Unlock()
	if step.Kind == HostStop {
		p.stop(stopTimeout)
	} else {
		p.kill()
	}
	clock.Sleep(ctx, step.Length)
	return s.startHost(h, p)
}

func (s *system) restartAllHosts(ctx context.Context, step Step) error {
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		if err := s.restartHost(ctx, h, step); err != nil {
			return err
		}
		step.Length = 0
	}
	return nil
}

// injectLinkFault applies a fault to a link for the length of the step.
func injectLinkFault(ctx context.Context, l *link.Link, step Step) error {
	const slowLinkDelay = 300 * time.Millisecond
	mode, delay := link.Up, time.Duration(0)
	switch step.Kind {
	case LinkCut:
		mode = link.Cut
	case LinkSilent:
		mode = link.Silent
	case LinkStall:
		mode = link.Stalled
	default:
		delay = slowLinkDelay
	}
	if err := l.SetMode(mode, delay); err != nil {
		return err
	}
	clock.Sleep(ctx, step.Length)
	return l.SetMode(link.Up, 0)
}

// runTargetStep runs a step that affects one target. It skips a target that is
// draining.
func (s *system) runTargetStep(ctx context.Context, step Step, maxDuration time.Duration) error {
	targets := s.allTargets()
	t := targets[step.Index%len(targets)]
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return nil
	}
	window := Window{Kind: step.Kind, Host: -1, Target: t.incarnationID()}
	return s.withWindow(window, maxDuration, func() error {
		switch step.Kind {
		case TargetDrain:
			return s.drainTarget(ctx, t)
		case TargetKill:
			return s.restartTarget(ctx, t, step)
		case TargetLimit:
			t.process.signal(syscall.SIGUSR1)
			clock.Sleep(ctx, step.Length+limitKnown+limitWindow)
			t.process.signal(syscall.SIGUSR2)
			return nil
		case TargetLeave:
			t.process.signal(syscall.SIGWINCH)
			clock.Sleep(ctx, step.Length+leavingKnown)
			return s.restartTarget(ctx, t, Step{})
		case TargetRest:
			t.process.signal(syscall.SIGIO)
			clock.Sleep(ctx, step.Length+restTime)
			t.process.signal(syscall.SIGIO)
			return nil
		}
		t.process.signal(syscall.SIGSTOP)
		clock.Sleep(ctx, step.Length)
		if step.Length > entryTTL {
			// The store drops the entry of a target that is silent for entryTTL. The
			// entry returns when the target resumes.
			s.store.PutTarget(t.id, nil)
		}
		t.process.signal(syscall.SIGCONT)
		if step.Length > entryTTL {
			s.store.PutTarget(t.id, t.entry(false))
		}
		return nil
	})
}

// putEntriesOfOther puts entries of another writer into the store: for a service that no configuration
// names, at the address of a target and under the id of another one, and with nested arrays without end,
// under an id of its own and that of a third target.
func (s *system) putEntriesOfOther(ctx context.Context, step Step) {
	targets := s.allTargets()
	at := func(i int) *target { return targets[(step.Index+i)%len(targets)] }
	agent := func(id, address string) []byte {
		return (&target{id: id, service: "node-agent", address: address, startedMs: time.Now().UnixMilli()}).entry(false)
	}
	unreadable := []byte(strings.Repeat("[", maxOddEntry))
	first := at(0)
	s.store.PutTarget("agent-"+first.id, agent("agent-"+first.id, first.address))
	s.store.PutTarget("odd-"+first.id, unreadable)
	s.overwriteEntry(ctx, at(1), agent(at(1).id, at(1).address))
	s.overwriteEntry(ctx, at(2), unreadable)
}

// heartbeatInterval is the time between two entries of a target.
const heartbeatInterval = 870 * time.Millisecond

// overwriteEntry puts an entry of another writer under the id of a target, which writes its own again with
// its next heartbeat. It skips a target that is draining.
func (s *system) overwriteEntry(ctx context.Context, t *target, entry []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return
	}
	s.store.PutTarget(t.id, entry)
	clock.Sleep(ctx, heartbeatInterval)
	s.store.PutTarget(t.id, t.entry(false))
}

// maxOddEntry is the size of an entry that can't be read, in bytes.
const maxOddEntry = 100_000

// loseResponses makes all processes of the targets of a service lose all responses for the
// length of the step.
func (s *system) loseResponses(ctx context.Context, step Step) {
	service := services[step.Index%len(services)]
	var processes []*process
	for _, t := range s.allTargets() {
		if t.service == service {
			t.mu.Lock()
			processes = append(processes, t.process)
			t.mu.Unlock()
		}
	}
	signalAll := func() {
		for _, p := range processes {
			p.signal(syscall.SIGHUP)
		}
	}
	signalAll()
	clock.Sleep(ctx, step.Length)
	signalAll()
}

// drainTarget starts a replacement for a target, drains the target, and kills it
// after the drain period. The caller holds the lock of the target.
func (s *system) drainTarget(ctx context.Context, t *target) error {
	t.draining = true
	if err := s.addTarget(t.service); err != nil {
		return err
	}
	s.leave(ctx, t)
	return nil
}

// leave has a target drain, and kills it after the drain period. The caller holds the lock of the target.
func (s *system) leave(ctx context.Context, t *target) {
	const drainPeriod = drainBound + time.Second
	s.store.PutTarget(t.id, t.entry(true))
	s.checker.DrainStarted(t.incarnationID(), time.Now())
	clock.Sleep(ctx, drainPeriod)
	s.store.PutTarget(t.id, nil)
	s.terminateTarget(t)
}

// restartUnseen starts a target with keys again under its id as the store goes away, for longer than a lease without
// renewals lasts. The target, for which a replacement has started before, drains when the store is back.
func (s *system) restartUnseen(ctx context.Context, step Step) error {
	const pause = 100 * time.Millisecond
	t := s.keyedTarget(step.Index)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return nil
	}
	t.draining = true
	if err := s.addTarget(t.service); err != nil {
		return err
	}
	outage := step.Length + owner.MaxLeaseDuration
	target := Window{Kind: step.Kind, Host: -1, Target: t.incarnationID()}
	restart := func() error {
		s.terminateTarget(t)
		clock.Sleep(ctx, pause)
		return s.startIncarnation(t)
	}
	err := s.withWindow(Window{Kind: StoreBusy, Host: -1}, outage+startTimeout, func() error {
		s.store.SetFault(storeFaults[StoreBusy])
		defer s.store.SetFault(platformstore.Fault{})
		if err := s.withWindow(target, startTimeout, restart); err != nil {
			return err
		}
		clock.Sleep(ctx, outage)
		return nil
	})
	if err != nil {
		return err
	}
	s.leave(ctx, t)
	return nil
}

// keyedTarget returns a target with keys by its index among them.
func (s *system) keyedTarget(index int) *target {
	var keyed []*target
	for _, t := range s.allTargets() {
		if t.service == keyedService {
			keyed = append(keyed, t)
		}
	}
	return keyed[index%len(keyed)]
}

func (s *system) terminateTarget(t *target) {
	t.process.kill()
	s.checker.TargetEnded(t.incarnationID(), time.Now())
}

// restartTarget kills a target and starts it again with the same id. The caller
// holds the lock of the target.
func (s *system) restartTarget(ctx context.Context, t *target, step Step) error {
	s.terminateTarget(t)
	if step.Length > entryTTL {
		clock.Sleep(ctx, entryTTL)
		s.store.PutTarget(t.id, nil)
		clock.Sleep(ctx, step.Length-entryTTL)
	} else {
		clock.Sleep(ctx, step.Length)
	}
	return s.startTarget(t)
}
