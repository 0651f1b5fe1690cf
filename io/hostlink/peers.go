package hostlink

import (
	"cmp"
	"hash/maphash"
	"maps"
	"slices"
	"sync"

	"pineturn/core/peers"
	"pineturn/io/metastore"
)

// maxPeersPerFeed is the largest number of hosts that a feed lists. It keeps the bytes
// of all feeds from growing with the square of the hosts.
const maxPeersPerFeed = 16

// features is what the host of a link understands beyond the messages of earlier builds.
type features struct {
	// followsLimits reports that it understands LimitsContinue, unpacks that it
	// understands packed updates.
	followsLimits, unpacks bool
	// followsPeers reports that it understands PeerChanges.
	followsPeers bool
}

// linkedHosts holds the last Host of each open link.
type linkedHosts struct {
	mu sync.Mutex
	// opened is the number of links that were opened.
	opened int
	// hosts holds the hosts by the number of their link.
	hosts map[int]peers.Host
	// understood holds what hosts understand by the number of their link.
	understood map[int]features
	// self and list are the arguments and the result of the last call of all, and
	// version counts the changes of list. changed reports a change of hosts since.
	self    peers.Host
	list    []peers.Host
	version int
	changed bool
	// log holds the changes of list.
	log peers.Log
}

// open returns the number of a new link.
func (l *linkedHosts) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opened++
	return l.opened
}

func (l *linkedHosts) put(link int, host peers.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == nil {
		l.hosts = make(map[int]peers.Host)
	}
	l.changed = l.changed || !l.hosts[link].Equal(host)
	l.hosts[link] = host
}

// get returns the host of a link, or the zero Host before its first report.
func (l *linkedHosts) get(link int) peers.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[link]
}

// setFeatures records what the host of a link understands.
func (l *linkedHosts) setFeatures(link int, f features) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.understood == nil {
		l.understood = make(map[int]features)
	}
	l.understood[link] = f
}

// features returns what the host of a link understands, as of its last report.
func (l *linkedHosts) features(link int) features {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.understood[link]
}

// forHost returns updates as they are sent to the host of a link.
func (l *linkedHosts) forHost(link int, updates []metastore.Update) []metastore.Update {
	unpacks := l.features(link).unpacks
	for i, u := range updates {
		updates[i] = u.ForHost(unpacks)
	}
	return updates
}

func (l *linkedHosts) remove(link int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.understood, link)
	delete(l.hosts, link)
	l.changed = true
}

// all returns self and the host of each link, by address, and a version that grows with
// each change. Of several links of one address the newest counts: an earlier one may be
// silent and not have ended yet. A self without address is left out. The caller must
// not change the list.
func (l *linkedHosts) all(self peers.Host) (list []peers.Host, version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.changed && self.Equal(l.self) && l.version > 0 {
		return l.list, l.version
	}
	hosts := make(map[string]peers.Host, len(l.hosts)+1)
	for _, link := range slices.Sorted(maps.Keys(l.hosts)) {
		hosts[l.hosts[link].Address] = l.hosts[link]
	}
	hosts[self.Address] = self
	delete(hosts, "")
	l.list = slices.SortedFunc(maps.Values(hosts), func(a, b peers.Host) int { return cmp.Compare(a.Address, b.Address) })
	l.self, l.changed = self, false
	l.version++
	l.log.Set(l.list)
	return l.list, l.version
}

// changes returns what has changed of the list of all since a revision, and the revision now.
func (l *linkedHosts) changes(revision int64) (*peers.Changes, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Since(revision)
}

// peerList is the list of hosts that the feeds on one link carry.
type peerList struct {
	seed maphash.Seed
	// sent is the list last sent.
	sent []peers.Host
	// settled is the version of the hosts for which nothing is left to be sent.
	settled int
}

// next returns the list for the next feed to a host, or nil if it is the same as
// before. If there are more hosts than a list holds, those that were listed and have
// become detached are listed once more: the receiver remembers hosts that are missing
// in a list for some time.
func (l *peerList) next(hosts []peers.Host, version int, receiver peers.Host) []peers.Host {
	if version == l.settled {
		return nil
	}
	var changed, others []peers.Host
	for _, h := range hosts {
		switch {
		case h.Address == receiver.Address:
		case len(changed) < maxPeersPerFeed/2 && l.becameDetached(h):
			changed = append(changed, h)
		default:
			others = append(others, h)
		}
	}
	others = peers.Sample(others, maxPeersPerFeed-len(changed), l.seed)
	list := peers.Sample(slices.Concat(changed, others), maxPeersPerFeed, l.seed)
	if slices.EqualFunc(list, l.sent, peers.Host.Equal) {
		l.settled = version
		return nil
	}
	l.sent = list
	return list
}

// becameDetached reports whether a host is detached for a service for which it was not
// in the list last sent.
func (l *peerList) becameDetached(host peers.Host) bool {
	for _, h := range l.sent {
		if h.Address == host.Address {
			return len(host.Detached) > 0 && !slices.Equal(h.Detached, host.Detached)
		}
	}
	return false
}
