package platformstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// group is a group whose members hold partitions 0 to parts-1 of one topic.
type group struct {
	generation int64
	topic      string
	members    []member
}

type member struct {
	name string
	ends time.Time
}

// groupParts is the number of partitions that are dealt.
const groupParts = 24

type joinCall struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTL    float64  `json:"ttl_s_time"`
}

func (s *Store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var call joinCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(call.Group)
	g.topic = call.Topics[0]
	now := time.Now()
	g.lapse(now)
	ends := now.Add(time.Duration(call.TTL * float64(time.Second)))
	if i := g.find(call.Member); i >= 0 {
		g.members[i].ends = ends
	} else {
		g.members = append(g.members, member{name: call.Member, ends: ends})
		g.generation++
	}
	rows := [][]any{}
	place := g.find(call.Member)
	for part := range groupParts {
		if part%len(g.members) == place {
			rows = append(rows, []any{g.topic, part, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl_s_time": call.TTL, "parts": rows})
}

func (s *Store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var call joinCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(call.Group)
	if i := g.find(call.Member); i >= 0 {
		g.members = slices.Delete(g.members, i, i+1)
		g.generation++
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation})
}

// Rebalance hands the partitions of all groups to other members.
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

func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{}
		s.groups[name] = g
	}
	return g
}

func (g *group) find(name string) int {
	return slices.IndexFunc(g.members, func(m member) bool { return m.name == name })
}

func (g *group) lapse(now time.Time) {
	n := len(g.members)
	g.members = slices.DeleteFunc(g.members, func(m member) bool { return now.After(m.ends) })
	if len(g.members) != n {
		g.generation++
	}
}
