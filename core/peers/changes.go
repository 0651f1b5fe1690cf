package peers

import "slices"

// Changes is what is new of the list of hosts.
type Changes struct {
	// Whole reports that Hosts is the whole list.
	Whole bool `cbor:"1,keyasint,omitempty"`
	// Hosts are the hosts that are new or have changed.
	Hosts []Host `cbor:"2,keyasint,omitempty"`
	// Gone are the addresses of the hosts that are linked no more.
	Gone []string `cbor:"3,keyasint,omitempty"`
}

// maxGone bounds the hosts that a log remembers as gone.
const maxGone = 256

// Log holds a list of hosts and tells what has changed since an earlier revision. The whole list
// at each change would cost bytes with the cube of the hosts while all of them restart. It is not
// safe for concurrent use.
type Log struct {
	revision int64
	hosts    map[string]logged
	// gone holds the revisions at which hosts have gone, floor the last one before which
	// some are forgotten.
	gone  map[string]int64
	floor int64
}

// logged is a host with the revision of its last change.
type logged struct {
	Host
	revision int64
}

// Set replaces the list.
func (l *Log) Set(list []Host) {
	if l.hosts == nil {
		l.hosts, l.gone = make(map[string]logged), make(map[string]int64)
	}
	l.revision++
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		listed[h.Address] = true
		if old, ok := l.hosts[h.Address]; !ok || !old.Equal(h) {
			l.hosts[h.Address] = logged{h, l.revision}
		}
		delete(l.gone, h.Address)
	}
	for address := range l.hosts {
		if !listed[address] {
			delete(l.hosts, address)
			l.gone[address] = l.revision
		}
	}
	if len(l.gone) > maxGone {
		clear(l.gone)
		l.floor = l.revision
	}
}

// Since returns what has changed since a revision, zero for the first call, and the revision now.
// It returns nil if nothing has.
func (l *Log) Since(revision int64) (*Changes, int64) {
	c := &Changes{Whole: revision == 0 || revision < l.floor}
	for _, h := range l.hosts {
		if c.Whole || h.revision > revision {
			c.Hosts = append(c.Hosts, h.Host)
		}
	}
	sortByAddress(c.Hosts)
	for address, at := range l.gone {
		if !c.Whole && at > revision {
			c.Gone = append(c.Gone, address)
		}
	}
	slices.Sort(c.Gone)
	if len(c.Hosts) == 0 && len(c.Gone) == 0 {
		return nil, l.revision
	}
	return c, l.revision
}
