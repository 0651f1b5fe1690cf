package owner

// MarkStored records that the store's newest record is one that Record returned earlier, and
// that no other record of this leader is on its way to the store. Unlike with MarkPersisted,
// ranges may have changed since: one counts as persisted if the record names its owner and all
// its former owners for each of its keys. A later leader then knows of all that may hold it.
func (l *Leader) MarkStored(a *Assignment) {
	for service, ranges := range l.services {
		stored := a.Services[service]
		i := 0
		for _, r := range ranges {
			for i < len(stored) && stored[i].Last < r.first {
				i++
			}
			if !r.persisted && covered(r, stored[i:]) {
				r.persisted = true
			}
		}
	}
}

// covered reports whether stored ranges, the first of which contains the first key of a range,
// name its owner and all its former owners for each of its keys.
func covered(r *rangeState, stored []Range) bool {
	for _, s := range stored {
		if s.Owner != r.owner || !namesAll(s.Former, r.former) {
			return false
		}
		if s.Last >= r.last {
			return true
		}
	}
	return false
}

func namesAll(stored []Incarnation, former []*formerOwner) bool {
	for _, f := range former {
		found := false
		for _, target := range stored {
			found = found || target == f.state.owner
		}
		if !found {
			return false
		}
	}
	return true
}
