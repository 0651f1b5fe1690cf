package hostlink

import (
	"testing"

	"pineturn/core/peers"
)

// TestPeerChanges guards against hosts that know different parts of a long list, against lists
// that are sent again for one change, and against a host of an older build that knows nobody.
func TestPeerChanges(t *testing.T) {
	s, address := newPeerLeader(t)
	for i := range 2 * maxPeersPerFeed {
		s.linked.put(s.linked.open(), peerHost(10+i))
	}
	older, self := peerHost(1), peerHost(2)
	earlier := dialPeer(t, address, reportMessage{Self: &older})
	link := dialPeer(t, address, reportMessage{Self: &self, FollowsPeers: true})
	// next returns the next feed with a list or with changes.
	next := func(l *Link) Feed {
		for range 10 {
			if feed := receive(t, l); len(feed.Peers) > 0 || feed.PeerChanges != nil {
				return feed
			}
		}
		t.Fatal("feeds without news: got 10, want one with news")
		return Feed{}
	}
	if got := next(earlier); len(got.Peers) != maxPeersPerFeed || got.PeerChanges != nil {
		t.Errorf("feed to an older build: got %d hosts and changes %v, want %d hosts", len(got.Peers), got.PeerChanges, maxPeersPerFeed)
	}
	table := peers.New(self)
	apply := func() int {
		feed := next(link)
		if feed.PeerChanges == nil {
			table.Put(feed.Peers, listTime)
			return -1
		}
		table.Apply(*feed.PeerChanges, listTime)
		return len(feed.PeerChanges.Hosts) + len(feed.PeerChanges.Gone)
	}
	for len(table.Hosts(listTime)) < 2*maxPeersPerFeed+2 {
		apply()
	}
	s.linked.put(1, peerHost(10, "records"))
	if got := apply(); got != 1 {
		t.Errorf("changes after one host has changed: got %d, want 1", got)
	}
	s.linked.remove(1)
	if got := apply(); got != 1 {
		t.Errorf("changes after one host has gone: got %d, want 1", got)
	}
}
