package coordinator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
)

// stayMember keeps this host among those that may lead until the context ends or
// the host stops. A host with little processor time joins late, when no other
// leads.
func (s *Coordinator) stayMember(ctx context.Context) {
	var generation int64
	var joined time.Time
	heard := time.Now()
	for ctx.Err() == nil {
		if s.isStopping() {
			if err := s.store.Leave(ctx, s.self.Name, generation); err != nil {
				klog.InfoS("Leaving the group of hosts failed", "err", err)
			}
			s.setChosen(false)
			return
		}
		if s.isChosen() || s.catalog.RelayActive() {
			heard = time.Now()
		}
		interval, ttl := s.joinTimes()
		reluctant := s.self.Cores < leaderCores && !s.isChosen() && time.Since(heard) < reluctance
		if reluctant || time.Since(joined) < interval {
			clock.Sleep(ctx, joinPoll)
			continue
		}
		joined = time.Now()
		membership, err := s.store.Join(ctx, s.self.Name, generation, ttl)
		if err != nil {
			s.setChosen(false)
			continue
		}
		generation = membership.Generation
		s.setChosen(membership.Elected)
	}
}

// joinTimes returns the time between two calls to join, and the silence after
// which this host counts as gone.
func (s *Coordinator) joinTimes() (interval, ttl time.Duration) {
	switch {
	case s.isChosen():
		return joinInterval, memberTTL
	case s.catalog.RelayActive():
		return calmInterval, calmTTL
	}
	return searchInterval, memberTTL
}

func (s *Coordinator) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Coordinator) setChosen(chosen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chosen != chosen {
		klog.InfoS("Choice of the leader", "chosen", chosen)
	}
	s.chosen = chosen
}

func (s *Coordinator) isChosen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chosen
}
