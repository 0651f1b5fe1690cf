package platformstore

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// eraHeader is the response header with the store's era.
	eraHeader = "Store-Era"
	// maxCopyAge is the age up to which copies are kept.
	maxCopyAge = 12 * time.Second
)

// storeCopy is a copy of the topics and groups.
type storeCopy struct {
	at     time.Time
	topics map[string]*topic
	groups map[string]*group
}

// Return is how the store goes away and comes back from an older copy. Durations are in
// nanoseconds in JSON.
type Return struct {
	// Age is the least age of the copy. The newest of those counts, or the oldest copy
	// if there is none.
	Age time.Duration `json:"age"`
	// Away is the time for which the store is away before, and Mode the Fault.Mode of
	// requests in that time, busy if empty.
	Away time.Duration `json:"away,omitempty"`
	Mode string        `json:"mode,omitempty"`
	// WriteAgainAfter is the time after the return at which the operator and the targets
	// write their lost records again.
	WriteAgainAfter time.Duration `json:"write_again_after,omitempty"`
}

// SetEra sets the era, from which on all responses state it.
func (s *Store) SetEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasEra, s.era = true, era
}

// Era returns the era.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// stateEra sets the header with the era. The caller holds s.mu.
func (s *Store) stateEra(w http.ResponseWriter) {
	if s.hasEra {
		w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
	}
}

// Copy takes a copy of the store, from which it can come back.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.copies = slices.DeleteFunc(s.copies, func(c storeCopy) bool { return now.Sub(c.at) > maxCopyAge })
	s.copies = append(s.copies, storeCopy{at: now, topics: cloneTopics(s.topics), groups: cloneGroups(s.groups)})
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	cloned := make(map[string]*topic, len(topics))
	for name, t := range topics {
		cloned[name] = &topic{first: t.first, records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return cloned
}

func cloneGroups(groups map[string]*group) map[string]*group {
	cloned := make(map[string]*group, len(groups))
	for name, g := range groups {
		cloned[name] = &group{generation: g.generation, topic: g.topic, members: slices.Clone(g.members)}
	}
	return cloned
}

// Return makes the store go away and come back from a copy. What the system wrote since
// is lost, offsets and groups go back, and the era rises by one. It returns false if
// there is no copy.
func (s *Store) Return(r Return) bool {
	s.leave(cmp.Or(r.Mode, "busy"))
	time.Sleep(r.Away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awayMode = ""
	c, ok := s.copyOfAge(r.Age)
	if !ok {
		return false
	}
	lost := s.topics
	s.topics, s.groups = cloneTopics(c.topics), cloneGroups(c.groups)
	// A later return must not restore what this one has lost.
	s.copies = slices.DeleteFunc(s.copies, func(other storeCopy) bool { return other.at.After(c.at) })
	s.era++
	s.notifyReaders()
	if r.WriteAgainAfter == 0 {
		s.writeAgain(lost, c)
		return true
	}
	time.AfterFunc(r.WriteAgainAfter, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.writeAgain(lost, c)
	})
	return true
}

// leave ends all reads that wait, and subjects all requests to a mode.
func (s *Store) leave(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awayMode = mode
	close(s.lost)
	s.lost = make(chan struct{})
}

// copyOfAge returns the newest copy of at least an age, or else the oldest one. The
// caller holds s.mu.
func (s *Store) copyOfAge(age time.Duration) (storeCopy, bool) {
	if len(s.copies) == 0 {
		return storeCopy{}, false
	}
	for _, c := range slices.Backward(s.copies) {
		if time.Since(c.at) >= age {
			return c, true
		}
	}
	return s.copies[0], true
}

// writeAgain appends the newest records of the operator and the targets that the copy
// lacks, unless the key was written since. The caller holds s.mu.
func (s *Store) writeAgain(lost map[string]*topic, from storeCopy) {
	for _, name := range []string{configTopic, targetsTopic} {
		before, after := lost[name], from.topics[name]
		if before == nil {
			continue
		}
		if after == nil {
			after = &topic{}
		}
		keys := maps.Clone(before.newest)
		maps.Copy(keys, after.newest)
		for _, key := range slices.Sorted(maps.Keys(keys)) {
			newest, copied := before.newest[key], after.newest[key]
			if newest.offset == copied.offset && string(newest.value) == string(copied.value) || s.topic(name).newest[key].offset != copied.offset {
				continue
			}
			s.appendRecords(name, [][]byte{append(append([]byte{byte(len(key))}, key...), newest.value...)})
		}
	}
}

func (s *Store) serveCopy(http.ResponseWriter, *http.Request) { s.Copy() }

func (s *Store) serveReturn(w http.ResponseWriter, r *http.Request) {
	var ret Return
	if err := json.NewDecoder(r.Body).Decode(&ret); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.Return(ret) {
		w.WriteHeader(http.StatusConflict)
	}
}
