package log

import (
	"encoding/json"
	"net/http"
)

// trim asks for the records of a stream before an offset to be dropped.
type trim struct {
	Stream string `json:"stream"`
	Before uint64 `json:"before"`
}

// StreamStats is what the service counts of one stream.
type StreamStats struct {
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
	Appends  uint64 `json:"appends"`
	Reads    uint64 `json:"reads"`
	Bytes    uint64 `json:"bytes"`
}

// Stats is the answer to GET /admin/stats.
type Stats struct {
	Fault   Fault                  `json:"fault"`
	Streams map[string]StreamStats `json:"streams"`
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		writeError(w, http.StatusBadRequest, "decode fault: "+err.Error())
		return
	}
	if !fault.valid() {
		writeError(w, http.StatusBadRequest, "fault: want mode up, down, slow, lose-answers or hang")
		return
	}
	s.SetFault(fault)
	writeJSON(w, http.StatusOK, fault)
}

func (s *Service) serveTrim(w http.ResponseWriter, r *http.Request) {
	var asked trim
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		writeError(w, http.StatusBadRequest, "decode trim: "+err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.stream(asked.Stream)
	found.trim(asked.Before)
	writeJSON(w, http.StatusOK, gone{Earliest: found.earliest, Next: found.next()})
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

// Stats returns the counts of all streams.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Fault: s.fault, Streams: map[string]StreamStats{}}
	for name := range s.streams {
		found := s.stream(name)
		stats.Streams[name] = StreamStats{
			Earliest: found.earliest,
			Next:     found.next(),
			Appends:  found.appends,
			Reads:    found.reads,
			Bytes:    found.bytes,
		}
	}
	return stats
}
