//go:build review3

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// storeAPI is the platform's store: the log is the project's stand-in; groups are kept here, and their
// times pause while the store is down.
type storeAPI struct {
	log http.Handler

	mu      sync.Mutex
	down    bool
	downAt  time.Time
	members []groupMember
	// generation counts the changes of the group.
	generation int64
}

type groupMember struct {
	name    string
	expires time.Time
}

// parts is the number of partitions of a topic.
const parts = 24

type groupCall struct {
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTL    float64  `json:"ttl_s_time"`
}

// setDown takes the store away or brings it back.
func (s *storeAPI) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.down && !down {
		for i := range s.members {
			s.members[i].expires = s.members[i].expires.Add(now.Sub(s.downAt))
		}
	}
	s.down, s.downAt = down, now
}

func (s *storeAPI) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// ServeHTTP serves a call. While the store is down it answers 503: nothing was done.
func (s *storeAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/log-join", "/v1/log-leave":
		s.serveGroup(w, r)
	default:
		s.log.ServeHTTP(w, r)
	}
}

func (s *storeAPI) serveGroup(w http.ResponseWriter, r *http.Request) {
	var call groupCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	known := len(s.members)
	s.members = slices.DeleteFunc(s.members, func(m groupMember) bool { return now.After(m.expires) })
	i := slices.IndexFunc(s.members, func(m groupMember) bool { return m.name == call.Member })
	leaves := r.URL.Path == "/v1/log-leave"
	switch {
	case leaves && i >= 0:
		s.members = slices.Delete(s.members, i, i+1)
	case !leaves && i >= 0:
		s.members[i].expires = now.Add(time.Duration(call.TTL * float64(time.Second)))
	case !leaves:
		s.members = append(s.members, groupMember{call.Member, now.Add(time.Duration(call.TTL * float64(time.Second)))})
	}
	if len(s.members) != known {
		s.generation++
	}
	rows := [][]any{}
	i = slices.IndexFunc(s.members, func(m groupMember) bool { return m.name == call.Member })
	for part := range parts {
		if i >= 0 && len(call.Topics) > 0 && part%len(s.members) == i {
			rows = append(rows, []any{call.Topics[0], part, 0})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"generation": s.generation, "parts": rows})
}
