package log

import (
	"encoding/json"
	"net/http"
)

// trimRequest is the body of POST /admin/trim. It drops the records of a stream
// before an offset.
type trimRequest struct {
	Stream string `json:"stream"`
	Before uint64 `json:"before"`
}

// StreamStats are the offsets and counters of one stream. Bytes is the total size
// of the appended records.
type StreamStats struct {
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
	Appends  uint64 `json:"appends"`
	Reads    uint64 `json:"reads"`
	Bytes    uint64 `json:"bytes"`
}

// Stats is the response body of GET /admin/stats.
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
	var request trimRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, "decode trim: "+err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(request.Stream)
	st.trim(request.Before)
	writeJSON(w, http.StatusOK, goneResponse{Earliest: st.earliest, Next: st.next()})
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

// Stats returns the current fault and the statistics of all streams.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Fault: s.fault, Streams: map[string]StreamStats{}}
	for name := range s.streams {
		st := s.stream(name)
		stats.Streams[name] = StreamStats{
			Earliest: st.earliest,
			Next:     st.next(),
			Appends:  st.appends,
			Reads:    st.reads,
			Bytes:    st.bytes,
		}
	}
	return stats
}
