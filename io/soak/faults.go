package soak

import (
	"context"
	"syscall"
	"time"

	"pineturn/core/clock"
	"pineturn/io/standin/link"
	"pineturn/io/standin/platformstore"
)

// play does all steps, each at its time, and returns when the last one has ended.
func (s *site) play(ctx context.Context, steps []Step) error {
	start := time.Now()
	ended := make(chan error, len(steps))
	for _, step := range steps {
		go func() {
			clock.Sleep(ctx, time.Until(start.Add(step.At)))
			ended <- s.do(ctx, step)
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

// during notes a window around what is done.
func (s *site) during(w Window, longest time.Duration, do func() error) error {
	w.From = time.Now()
	w.To = w.From.Add(longest)
	s.judge.Under(w)
	err := do()
	w.To = time.Now()
	s.judge.Under(w)
	return err
}

func (s *site) do(ctx context.Context, step Step) error {
	h := s.hosts[step.Which%len(s.hosts)]
	onHost := Window{Kind: step.Kind, Host: h.number}
	everywhere := Window{Kind: step.Kind, Host: -1}
	longest := step.For + startWithin + graceTime
	switch step.Kind {
	case HostStop, HostKill:
		return s.during(onHost, longest, func() error { return s.restart(ctx, h, step) })
	case AllHostsKill:
		return s.during(everywhere, longest, func() error { return s.restartAll(ctx, step) })
	case HostPause:
		return s.during(onHost, longest, func() error {
			h.signal(syscall.SIGSTOP)
			clock.Sleep(ctx, step.For)
			h.signal(syscall.SIGCONT)
			return nil
		})
	case HostReload:
		h.signal(syscall.SIGHUP)
	case Configure:
		return s.configure()
	case TargetDrain, TargetKill, TargetPause:
		return s.doTarget(ctx, step, longest)
	case LinkCut, LinkSilent, LinkStall, LinkSlow:
		return s.during(onHost, longest, func() error { return harm(ctx, h.link, step) })
	case StoreExpire:
		return s.during(everywhere, 0, func() error { s.store.ExpireAll(); return nil })
	case StoreDeal:
		return s.during(everywhere, 0, func() error { s.store.Rebalance(); return nil })
	default:
		return s.during(everywhere, longest, func() error {
			s.store.SetFault(storeFaults[step.Kind])
			clock.Sleep(ctx, step.For)
			s.store.SetFault(platformstore.Fault{})
			return nil
		})
	}
	return nil
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

// restart ends a host and starts it again.
func (s *site) restart(ctx context.Context, h *host, step Step) error {
	h.mu.Lock()
	p := h.process
	h.mu.Unlock()
	if step.Kind == HostStop {
		p.stop(graceTime)
	} else {
		p.kill()
	}
	clock.Sleep(ctx, step.For)
	return s.startHost(h, p)
}

func (s *site) restartAll(ctx context.Context, step Step) error {
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		if err := s.restart(ctx, h, step); err != nil {
			return err
		}
		step.For = 0
	}
	return nil
}

// harm has a link misbehave for a while.
func harm(ctx context.Context, l *link.Link, step Step) error {
	const slow = 300 * time.Millisecond
	mode, delay := link.Up, time.Duration(0)
	switch step.Kind {
	case LinkCut:
		mode = link.Cut
	case LinkSilent:
		mode = link.Silent
	case LinkStall:
		mode = link.Stalled
	default:
		delay = slow
	}
	if err := l.SetMode(mode, delay); err != nil {
		return err
	}
	clock.Sleep(ctx, step.For)
	return l.SetMode(link.Up, 0)
}

// doTarget does a step on a target. One that leaves is replaced by a new one.
func (s *site) doTarget(ctx context.Context, step Step, longest time.Duration) error {
	targets := s.all()
	t := targets[step.Which%len(targets)]
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return nil
	}
	window := Window{Kind: step.Kind, Host: -1, Target: t.lifeName()}
	return s.during(window, longest, func() error {
		switch step.Kind {
		case TargetDrain:
			return s.drain(ctx, t)
		case TargetKill:
			return s.killTarget(ctx, t, step)
		}
		t.process.signal(syscall.SIGSTOP)
		clock.Sleep(ctx, step.For)
		if step.For > lapseTime {
			// The silent target's entry lapses, and comes back with it.
			s.store.PutTarget(t.id, nil)
		}
		t.process.signal(syscall.SIGCONT)
		if step.For > lapseTime {
			s.store.PutTarget(t.id, t.entry(false))
		}
		return nil
	})
}

// drain has a target leave in good order. Its lock is held.
func (s *site) drain(ctx context.Context, t *target) error {
	const serving = drainTime + time.Second
	t.leaving = true
	if err := s.addTarget(t.service); err != nil {
		return err
	}
	s.store.PutTarget(t.id, t.entry(true))
	s.judge.Drained(t.lifeName(), time.Now())
	clock.Sleep(ctx, serving)
	s.store.PutTarget(t.id, nil)
	s.endTarget(t)
	return nil
}

func (s *site) endTarget(t *target) {
	t.process.kill()
	s.judge.Ended(t.lifeName(), time.Now())
}

// killTarget kills a target and starts it again under its id. Its lock is held.
func (s *site) killTarget(ctx context.Context, t *target, step Step) error {
	s.endTarget(t)
	if step.For > lapseTime {
		clock.Sleep(ctx, lapseTime)
		s.store.PutTarget(t.id, nil)
		clock.Sleep(ctx, step.For-lapseTime)
	} else {
		clock.Sleep(ctx, step.For)
	}
	return s.begin(t)
}
