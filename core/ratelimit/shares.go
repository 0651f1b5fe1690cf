package ratelimit

import "time"

// Shares holds what the leader has told this host of the limits of targets on the current
// link, also of targets that this host does not know yet. The zero value is empty. It is not
// safe for concurrent use.
type Shares struct {
	shares map[string]heldShare
	saidAt time.Time
}

// heldShare is a share with the time after which the target named its limit.
type heldShare struct {
	Share
	toldAt time.Time
}

// Apply records an update that the leader sent at a time.
func (s *Shares) Apply(update Update, saidAt time.Time) {
	if s.shares == nil || !update.Continues {
		s.shares = make(map[string]heldShare, len(update.Shares))
	}
	s.saidAt = saidAt
	for _, share := range update.Shares {
		if share.Limit.Named {
			s.shares[share.Target] = heldShare{Share: share, toldAt: saidAt.Add(-share.Age)}
		} else {
			delete(s.shares, share.Target)
		}
	}
}

// Targets calls visit with each target of which the leader has told this host a limit.
func (s *Shares) Targets(visit func(target string)) {
	for target := range s.shares {
		visit(target)
	}
}

// Inform tells the pacer of a target what the leader last said of it, and renews the part of
// this host. It reports whether the limit has changed.
func (s *Shares) Inform(target string, p *Pacer, now time.Time) bool {
	share, ok := s.shares[target]
	if !ok {
		return false
	}
	changed := p.Learn(share.Limit, share.toldAt, now)
	if share.Dealt {
		p.SetShare(share.Share, s.saidAt, now)
	}
	return changed
}
