package poison

import (
	"slices"
	"time"
)

// SetRecord replaces the record that all hosts read. A block or a suspicion that a response here
// contradicts is not applied, and the leader is told.
func (t *Tracker) SetRecord(blocks []Block, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = true
	before := t.recorded
	t.recorded = make(map[Fingerprint]activeBlock, len(blocks))
	for _, b := range blocks {
		active := activeBlock{Block: b, since: now}
		if known, ok := before[b.Fingerprint]; ok && equalBlocks(known.Block, b) {
			active.since = known.since
		} else {
			delete(t.lifted, b.Fingerprint)
		}
		t.recorded[b.Fingerprint] = active
		if found, ok := t.found[b.Fingerprint]; ok && equalBlocks(found.Block, b) {
			delete(t.found, b.Fingerprint)
		}
	}
	for f := range before {
		if _, ok := t.recorded[f]; !ok {
			// The leader has lifted it.
			t.clear(f, now)
			delete(t.lifted, f)
		}
	}
	t.anyBlock.Store(len(t.recorded)+len(t.found) > 0)
	for f, b := range t.recorded {
		_, found := t.found[f]
		switch {
		case !b.Suspect:
			t.explain(b.Block, now)
		case !found:
			t.detector.merge(b.Block, now)
			t.judge(f, now)
		}
		for _, version := range b.Versions {
			if r := (responder{f, version}); t.responded(f, version, now) {
				t.contest(r, now)
			}
		}
	}
}

// explain records that the targets of a block have ended under its request. The caller holds mu.
func (t *Tracker) explain(block Block, now time.Time) {
	delete(t.detector.suspects, block.Fingerprint)
	for _, target := range block.Targets {
		t.detector.explain(target, block.Fingerprint, now)
	}
}

// LoseRecord records that the store has no record of blocks: it has lost it, or there was none.
// What was recorded stays in force and is recorded anew.
func (t *Tracker) LoseRecord() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, b := range t.recorded {
		if _, ok := t.found[f]; !ok && !b.Suspect {
			t.found[f] = b
		}
	}
	t.recorded, t.changed = make(map[Fingerprint]activeBlock), true
}

// Unrecorded returns the blocks and suspicions that are to be recorded by this host, and whether
// they differ from the record last read.
func (t *Tracker) Unrecorded(now time.Time) (blocks []Block, differ bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.changed && now.Sub(t.comparedAt) < compareInterval || !t.records(now) || len(t.recorded)+len(t.found)+len(t.detector.suspects) == 0 {
		return nil, false
	}
	t.comparedAt = now
	blocks = t.blocks(now)
	blocks = append(blocks, t.detector.suspected(maxBlocks-len(blocks), now)...)
	t.changed = t.differ(blocks)
	return blocks, t.changed
}

// differ reports whether the record differs from blocks. The caller holds mu.
func (t *Tracker) differ(blocks []Block) bool {
	if len(blocks) != len(t.recorded) {
		return true
	}
	for _, b := range blocks {
		if recorded, ok := t.recorded[b.Fingerprint]; !ok || !equalBlocks(recorded.Block, b) {
			return true
		}
	}
	return false
}

// records reports whether this host writes the record. The caller holds mu.
func (t *Tracker) records(now time.Time) bool {
	return t.role == Leader || t.role == Alone && !t.aloneSince.IsZero() && now.Sub(t.aloneSince) >= isolationDelay
}

func equalBlocks(a, b Block) bool {
	return a.Fingerprint == b.Fingerprint && slices.Equal(a.Versions, b.Versions) && slices.Equal(a.Targets, b.Targets) && slices.Equal(a.Requests, b.Requests) && a.Suspect == b.Suspect
}
