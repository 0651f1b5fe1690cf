package placement

// regionState is what the regions that a request may go to mean for a choice among several
// targets.
type regionState struct {
	// excluded reports that a target was excluded by its region, others that one was not.
	excluded, others bool
}

// add adds a target and reports whether it is excluded.
func (r *regionState) add(t *Target, criteria Criteria) bool {
	if criteria.Allows != nil && !criteria.Allows(t.entry.Domain) {
		r.excluded = true
		return true
	}
	r.others = true
	return false
}

// decides reports whether the request has no target because of its regions alone.
func (r *regionState) decides() bool { return r.excluded && !r.others }
