package poison

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// detector puts together the ends of targets under requests.
type detector struct {
	suspects map[Fingerprint]*suspect
	// explained holds the targets that have ended under a request that is refused for it. They
	// do not count against others.
	explained map[Target]explanation
}

// suspect is a request under which targets have ended.
type suspect struct {
	ends []end
	// seenAt is the time at which the last end was told.
	seenAt time.Time
}

// end is the end of a target under a request. Its times are zero if another process has
// recorded it.
type end struct {
	target  Target
	request string
	sentAt  time.Time
	endedAt time.Time
}

// explanation is the request that is refused for the end of a target, and when that was found.
type explanation struct {
	by Fingerprint
	at time.Time
}

func newDetector() *detector {
	return &detector{suspects: make(map[Fingerprint]*suspect), explained: make(map[Target]explanation)}
}

// add records the end of a target under a request.
func (d *detector) add(f Fingerprint, e end, now time.Time) {
	s := d.suspect(f, now)
	if s.has(e.target) {
		return
	}
	s.seenAt = now
	s.ends = append(s.ends, e)
	slices.SortStableFunc(s.ends, func(a, b end) int { return a.endedAt.Compare(b.endedAt) })
}

// merge takes over the ends that another process has recorded of a request under suspicion.
func (d *detector) merge(block Block, now time.Time) {
	s := d.suspect(block.Fingerprint, now)
	for i, target := range block.Targets {
		if s.has(target) {
			continue
		}
		e := end{target: target}
		if i < len(block.Requests) {
			e.request = block.Requests[i]
		}
		s.ends = slices.Insert(s.ends, 0, e)
	}
}

// suspect returns what is known of a request.
func (d *detector) suspect(f Fingerprint, now time.Time) *suspect {
	s := d.suspects[f]
	if s == nil || now.Sub(s.seenAt) > suspectRetention {
		d.makeRoom(now)
		s = &suspect{seenAt: now}
		d.suspects[f] = s
	}
	return s
}

func (s *suspect) has(target Target) bool {
	return slices.ContainsFunc(s.ends, func(known end) bool { return known.target == target })
}

// successive returns the number of targets that have ended under a request one after the other
// and under no other one that is refused for it. A request that was sent to a target before
// another one ended says little: a loss of power ends all targets that run the same busy
// request.
func (d *detector) successive(f Fingerprint) int {
	count := 0
	var last time.Time
	for _, e := range d.suspects[f].ends {
		if x, ok := d.explained[e.target]; ok && x.by != f {
			continue
		}
		if count == 0 || !e.sentAt.Before(last) {
			count++
			last = e.endedAt
		}
	}
	return count
}

// takeBlock returns the block of a request if that is to be refused from now on, and explains
// the ends of its targets by it.
func (d *detector) takeBlock(f Fingerprint, now time.Time) (Block, bool) {
	if d.successive(f) < endsToBlock {
		return Block{}, false
	}
	block := d.block(f)
	delete(d.suspects, f)
	for _, target := range block.Targets {
		d.explain(target, f, now)
	}
	return block, true
}

// block returns the ends of targets under a request.
func (d *detector) block(f Fingerprint) Block {
	block := Block{Fingerprint: f}
	for _, e := range d.suspects[f].ends {
		block.add(e.target, e.request)
	}
	return block
}

// suspected returns the requests that are recorded although they are not refused yet, at most
// limit: those under which most targets have ended, the latest first.
func (d *detector) suspected(limit int, now time.Time) []Block {
	type ranked struct {
		Fingerprint
		ends   int
		seenAt time.Time
	}
	var all []ranked
	for f, s := range d.suspects {
		if n := d.successive(f); n > 0 && now.Sub(s.seenAt) <= suspectRetention {
			all = append(all, ranked{f, n, s.seenAt})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.ends, a.ends), b.seenAt.Compare(a.seenAt), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	var blocks []Block
	singles := 0
	for _, r := range all[:min(len(all), limit)] {
		if r.ends == 1 {
			singles++
		}
		if singles > maxSingles {
			break
		}
		block := d.block(r.Fingerprint)
		block.Suspect = true
		blocks = append(blocks, block)
	}
	return blocks
}

// explain records that a target has ended under a request that is refused for it.
func (d *detector) explain(target Target, by Fingerprint, now time.Time) {
	d.explained[target] = explanation{by: by, at: now}
}

// clear forgets a request: a target has responded to it. It explains nothing any more.
func (d *detector) clear(f Fingerprint) {
	delete(d.suspects, f)
	for target, x := range d.explained {
		if x.by == f {
			delete(d.explained, target)
		}
	}
}

// clearVersion forgets the ends of targets of a version under a request, and reports whether
// others are left.
func (d *detector) clearVersion(f Fingerprint, version string) bool {
	s := d.suspects[f]
	if s == nil {
		return false
	}
	s.ends = slices.DeleteFunc(s.ends, func(e end) bool { return e.target.Version == version })
	return len(s.ends) > 0
}

// makeRoom forgets what is old if there is too much, and then the oldest request if there are
// still too many.
func (d *detector) makeRoom(now time.Time) {
	if len(d.suspects) < maxSuspects && len(d.explained) < maxSuspects {
		return
	}
	for target, x := range d.explained {
		if now.Sub(x.at) > suspectRetention {
			delete(d.explained, target)
		}
	}
	var oldest Fingerprint
	var oldestAt time.Time
	for f, s := range d.suspects {
		if now.Sub(s.seenAt) > suspectRetention {
			delete(d.suspects, f)
		} else if oldestAt.IsZero() || s.seenAt.Before(oldestAt) {
			oldest, oldestAt = f, s.seenAt
		}
	}
	if len(d.suspects) >= maxSuspects {
		delete(d.suspects, oldest)
	}
}
