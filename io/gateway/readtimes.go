package gateway

import "time"

const (
	// relayFraction is the part of the bound on updates for which a host relies on the
	// leader's relay before it reads the store itself. maxRelayAge bounds that time.
	relayFraction = 0.7
	maxRelayAge   = 3 * time.Second
	// watermarkMargin is the part of that time that is kept for a feed on its way.
	watermarkMargin = 150 * time.Millisecond
	// readOverlap is the time from the latest proof by one read to that by the next,
	// as a multiple of how long a read waits.
	readOverlap = 1.1
	// minLeaderReadWait and hostReadWait bound how long a read by the leader waits for a
	// change; hostReadWait is also how long a read by any other host waits.
	minLeaderReadWait = 300 * time.Millisecond
	hostReadWait      = 1500 * time.Millisecond
	// maxOwnerReadWait bounds how long the leader's read of the owners waits: each proves
	// again that it leads.
	maxOwnerReadWait = 800 * time.Millisecond
	// leaderBatchDelay is the leader's pause between two reads of the targets
	// topic, in which changes accumulate to be read together.
	leaderBatchDelay = 100 * time.Millisecond
	// hostBatchDelay is the corresponding pause of any other host.
	hostBatchDelay = 400 * time.Millisecond
)

// relayAge returns how long hosts rely on the leader's relay without news, by the bound on
// updates.
func relayAge(updateBound time.Duration) time.Duration {
	return min(time.Duration(relayFraction*float64(updateBound)), maxRelayAge)
}

// leaderReadWait returns how long the leader's reads may wait, so that its watermarks are not
// older than the relay age when the next one arrives.
func leaderReadWait(relayAge, feedInterval time.Duration) time.Duration {
	wait := time.Duration(float64(relayAge-feedInterval-watermarkMargin) / readOverlap)
	return min(max(wait, minLeaderReadWait), hostReadWait)
}

func (g *Gateway) batchDelay() time.Duration {
	if g.coordinator.Leading() {
		return leaderBatchDelay
	}
	return hostBatchDelay
}

func (g *Gateway) readWait() time.Duration {
	if g.coordinator.Leading() {
		return leaderReadWait(relayAge(g.settings.UpdateBound), g.links.FeedInterval())
	}
	return hostReadWait
}

func (g *Gateway) ownerReadWait() time.Duration {
	if g.coordinator.Leading() {
		return min(g.readWait(), maxOwnerReadWait)
	}
	return hostReadWait
}
