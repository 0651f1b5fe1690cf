package placement

import "testing"

// TestForbiddenRegion guards against requests to targets in regions that they may not go to, and
// against requests that are held although no target is allowed.
func TestForbiddenRegion(t *testing.T) {
	allows := func(domains ...string) Criteria {
		return Criteria{Allows: func(domain string) bool {
			for _, d := range domains {
				if d == domain {
					return true
				}
			}
			return false
		}}
	}
	s := newSet("t1")
	s.Put(entry("t2", "b"), start)
	t.Run("one allowed", func(t *testing.T) {
		for range 5 {
			if got := choose(t, s, allows("b"), start).Entry.ID; got != "t2" {
				t.Errorf("target: got %s, want t2", got)
			}
		}
	})
	t.Run("none allowed", func(t *testing.T) { wantStatus(t, s, allows("c"), start, Forbidden) })
	t.Run("owner elsewhere", func(t *testing.T) {
		criteria := allows("b")
		criteria.Owner = "t1"
		wantStatus(t, s, criteria, start, Forbidden)
	})
}
