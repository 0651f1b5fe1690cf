package platformstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// group is a consumer group of one topic. Its partitions, 0 to partitionCount-1,
// are assigned to the members round-robin. Each membership change increments
// generation.
type group struct {
	generation int64
	topic      string
	members    []member
}

type member struct {
	name      string
	expiresAt time.Time
}

// partitionCount is the number of partitions of each group's topic.
const partitionCount = 24

// memberRequest is the body of a join or leave. TTL, in seconds, and Topics are
// read for a join only; just the first topic is used.
type memberRequest struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTL    float64  `json:"ttl_s_time"`
}

func (s *Store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var req memberRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	g := s.group(req.Group)
	g.topic = req.Topics[0]
	now := time.Now()
	g.removeExpired(now)
	expiresAt := now.Add(time.Duration(req.TTL * float64(time.Second)))
	if i := g.find(req.Member); i >= 0 {
		g.members[i].expiresAt = expiresAt
	} else {
		g.members = append(g.members, member{name: req.Member, expiresAt: expiresAt})
		g.generation++
	}
	rows := [][]any{}
	position := g.find(req.Member)
	for part := range partitionCount {
		if part%len(g.members) == position {
			rows = append(rows, []any{g.topic, part, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl_s_time": req.TTL, "parts": rows})
}

func (s *Store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var req memberRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	g := s.group(req.Group)
	if i := g.find(req.Member); i >= 0 {
		g.members = slices.Delete(g.members, i, i+1)
		g.generation++
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation})
}

// Rebalance assigns the partitions of each group to other members, as far as
// the group has more than one, and increments its generation.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if len(g.members) > 1 {
			g.members = append(g.members[1:], g.members[0])
		}
		g.generation++
	}
}

// group returns the named group and creates it if absent. The caller holds s.mu.
func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{}
		s.groups[name] = g
	}
	return g
}

// find returns the index of a member, or -1.
func (g *group) find(name string) int {
	return slices.IndexFunc(g.members, func(m member) bool { return m.name == name })
}

// removeExpired removes members whose TTL has passed.
func (g *group) removeExpired(now time.Time) {
	n := len(g.members)
	g.members = slices.DeleteFunc(g.members, func(m member) bool { return now.After(m.expiresAt) })
	if len(g.members) != n {
		g.generation++
	}
}
