package coordinator

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/owner"
	"pineturn/core/placement"
	"pineturn/platform"
)

// isSuccessor reports whether an earlier process of this host led last. That one
// has ended, so that this one need not wait until it is chosen. It answers the
// restart of all hosts at once.
func (s *Coordinator) isSuccessor() bool {
	a := s.catalog.Assignment()
	return a != nil && a.Leader == s.self.Name && a.Process != s.self.Process && !s.isStopping()
}

// takeOver writes the record that makes this host the leader.
func (s *Coordinator) takeOver(ctx context.Context, next int64, now time.Time) {
	if now.Sub(s.wrote) < writeRetry {
		return
	}
	s.wrote = now
	a := owner.Assignment{}
	if old := s.catalog.Assignment(); old != nil {
		a = *old
	}
	a.Epoch++
	a.Leader, a.Process, a.Address = s.self.Name, s.self.Process, s.self.Address
	s.append(ctx, &a, next)
}

func (s *Coordinator) append(ctx context.Context, a *owner.Assignment, next int64) {
	data, err := a.Encode()
	if err != nil {
		klog.ErrorS(err, "Assignment can't be encoded")
		return
	}
	sent := s.clock.Now()
	go func() {
		err := s.store.AppendAt(ctx, platform.TopicOwners, platform.KeyOwners, data, next)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			klog.InfoS("Writing the assignment failed", "epoch", a.Epoch, "at", next, "err", err)
		}
		if err == nil {
			s.freshest(sent)
		}
	}()
}

// lead does what is due while this host leads.
func (s *Coordinator) lead(ctx context.Context, next int64, fresh, now time.Time) {
	if s.leader.Fenced() {
		s.noteFenced()
		return
	}
	targets := s.targetsNow()
	s.askPredecessor(ctx, now)
	s.writeIfDirty(ctx, next, now)
	calm := now.Sub(fresh) < calmFor
	if calm {
		s.change(targets, now)
	}
	s.leader.DropFormerOwners(targets, now)
	s.writeIfDirty(ctx, next, now)
	if now.Sub(fresh) >= owner.MaxProofAgeForRenewal || s.isStopping() && !calm {
		return
	}
	s.send(ctx, targets, now.Sub(fresh) < owner.MaxProofAgeForNewLease, now)
}

// noteFenced notes, once, that a target has seen a later leader. That one grants
// all keys from now on.
func (s *Coordinator) noteFenced() {
	if s.fenced == s.leader.Epoch() {
		return
	}
	s.fenced = s.leader.Epoch()
	klog.InfoS("A target has seen a later leader, sending no more grants", "epoch", s.fenced)
}

func (s *Coordinator) change(targets map[string]owner.Target, now time.Time) {
	balance := now.Sub(s.balanced) >= balanceInterval && !s.leader.Dirty()
	s.mu.Lock()
	defer s.mu.Unlock()
	if balance {
		s.balanced = now
		s.loads.Decay(now)
		s.orders.keep(livesOf(targets))
	}
	for _, service := range s.keyedServices() {
		if !s.leader.Assigned(service) && !s.gathered(targets, service, now) {
			continue
		}
		s.leader.Assign(service, targets, s.loads, now)
		if balance {
			if n := s.leader.Balance(service, targets, s.loads, now); n > 0 {
				klog.InfoS("Keys move for balance", "service", service, "moves", n)
			}
		}
	}
}

func livesOf(targets map[string]owner.Target) map[owner.Incarnation]bool {
	lives := make(map[owner.Incarnation]bool, len(targets))
	for _, t := range targets {
		lives[t.Incarnation] = true
	}
	return lives
}

// gathered reports whether targets had time to appear before keys are divided
// for the first time.
func (s *Coordinator) gathered(targets map[string]owner.Target, service string, now time.Time) bool {
	for _, t := range targets {
		if t.Service != service {
			continue
		}
		if s.firstSeen.IsZero() {
			s.firstSeen = now
		}
		return now.Sub(s.firstSeen) >= settleTime
	}
	return false
}

func (s *Coordinator) writeIfDirty(ctx context.Context, next int64, now time.Time) {
	if !s.leader.Dirty() {
		return
	}
	record := s.leader.Record()
	if same(record, s.catalog.Assignment()) {
		s.leader.MarkPersisted(record)
		return
	}
	if now.Sub(s.wrote) < writeRetry && next == s.wroteAt {
		return
	}
	s.wrote, s.wroteAt = now, next
	s.append(ctx, record, next)
}

func same(a, b *owner.Assignment) bool {
	one, err := a.Encode()
	if err != nil {
		return false
	}
	other, err := b.Encode()
	return err == nil && bytes.Equal(one, other)
}

func (s *Coordinator) targetsNow() map[string]owner.Target {
	targets := make(map[string]owner.Target)
	s.entries = make(map[string]placement.Entry)
	for _, e := range s.catalog.RecentlyRemoved() {
		targets[e.ID] = ownerTarget(e, true)
		s.entries[e.ID] = e
	}
	for _, e := range s.targets.Entries("") {
		targets[e.ID] = ownerTarget(e, e.Draining)
		s.entries[e.ID] = e
	}
	return targets
}

func ownerTarget(e placement.Entry, leaving bool) owner.Target {
	return owner.Target{
		Incarnation: owner.Incarnation{Target: e.ID, Born: e.Born}, Service: e.Service, Slots: e.Slots, Draining: leaving,
	}
}

func (s *Coordinator) send(ctx context.Context, targets map[string]owner.Target, sure bool, now time.Time) {
	for _, order := range s.leader.Orders(targets, sure, now) {
		address := s.entries[order.Target.Target].Address
		go func() {
			outcome := s.orders.send(ctx, address, order)
			select {
			case s.results <- result{order: order, outcome: outcome}:
			case <-ctx.Done():
			}
		}()
	}
}

// askInterval is the time between questions to the host that led before.
const askInterval = time.Second

// askPredecessor asks for proof that the process that led before has ended.
func (s *Coordinator) askPredecessor(ctx context.Context, now time.Time) {
	if s.former.Process == "" || !s.leader.PredecessorLeasesInForce(now) || now.Sub(s.asked) < askInterval {
		return
	}
	s.asked = now
	former := s.former
	go func() {
		at, ok := s.PredecessorEnded(ctx, former.Address, former.Process)
		if !ok {
			return
		}
		select {
		case s.proofs <- at:
		default:
		}
	}()
}
