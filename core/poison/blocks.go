package poison

import (
	"slices"
	"time"
)

// Find returns the block of a request, if it is refused.
func (t *Tracker) Find(f Fingerprint, now time.Time) (Block, bool) {
	if !t.anyBlock.Load() {
		return Block{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.block(f, now)
}

// block returns the block of a request that is refused. The caller holds mu.
func (t *Tracker) block(f Fingerprint, now time.Time) (Block, bool) {
	if t.role == Follower {
		return t.recordedBlock(f, now)
	}
	return t.knownBlock(f, now)
}

// knownBlock returns the block of a request that was found here or is recorded. The caller holds
// mu.
func (t *Tracker) knownBlock(f Fingerprint, now time.Time) (Block, bool) {
	if b, ok := t.found[f]; ok && now.Sub(b.since) <= blockRetention {
		return b.Block, true
	}
	return t.recordedBlock(f, now)
}

// recordedBlock returns the block of a request that is recorded. The caller holds mu.
func (t *Tracker) recordedBlock(f Fingerprint, now time.Time) (Block, bool) {
	b, ok := t.recorded[f]
	if !ok || t.lifted[f] || b.Suspect || now.Sub(b.since) > blockRetention {
		return Block{}, false
	}
	return b.Block, true
}

// AnyBlock reports whether any request may be refused.
func (t *Tracker) AnyBlock() bool { return t.anyBlock.Load() }

// Blocks returns the requests that are refused, by fingerprint.
func (t *Tracker) Blocks(now time.Time) []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blocks(now)
}

func (t *Tracker) blocks(now time.Time) []Block {
	var all []Block
	for f := range t.recorded {
		if b, ok := t.block(f, now); ok {
			all = append(all, b)
		}
	}
	for f := range t.found {
		if _, ok := t.recorded[f]; ok {
			continue
		}
		if b, ok := t.block(f, now); ok {
			all = append(all, b)
		}
	}
	slices.SortFunc(all, compareBlocks)
	return all[:min(len(all), maxBlocks)]
}
