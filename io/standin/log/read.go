package log

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// record is one record in the answer to a read.
type record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// page answers a read.
type page struct {
	Earliest uint64   `json:"earliest"`
	Next     uint64   `json:"next"`
	Records  []record `json:"records"`
}

// gone answers a read from before the retention.
type gone struct {
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
}

// query is what a read asks for.
type query struct {
	from uint64
	max  int
	wait time.Duration
}

func parseQuery(values url.Values) (query, error) {
	asked := query{max: defaultMax}
	numbers := map[string]uint64{"from": 0, "max": defaultMax, "wait_ms": 0}
	for name := range numbers {
		if !values.Has(name) {
			continue
		}
		number, err := strconv.ParseUint(values.Get(name), 10, 63)
		if err != nil {
			return query{}, err
		}
		numbers[name] = number
	}
	asked.from = numbers["from"]
	asked.max = int(min(numbers["max"], 10*defaultMax))
	asked.wait = min(time.Duration(numbers["wait_ms"])*time.Millisecond, maxWait)
	return asked, nil
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	asked, err := parseQuery(r.URL.Query())
	if err != nil {
		writeError(w, http.StatusBadRequest, "parse query: "+err.Error())
		return
	}
	if _, ok := s.suffer(w, r, opRead); !ok {
		return
	}
	timer := time.NewTimer(asked.wait)
	defer timer.Stop()
	expired := asked.wait == 0
	for {
		found, changed, down := s.read(r.PathValue("stream"), asked)
		if down {
			writeError(w, http.StatusServiceUnavailable, "down")
			return
		}
		if found.Earliest > asked.from {
			writeJSON(w, http.StatusGone, gone{Earliest: found.Earliest, Next: found.Next})
			return
		}
		if expired || asked.from != found.Next {
			s.count(r.PathValue("stream"))
			writeJSON(w, http.StatusOK, found)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-s.done:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the asked page, a channel that is closed at the next change,
// and whether the service went down meanwhile.
func (s *Service) read(name string, asked query) (page, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.stream(name)
	answer := page{Earliest: found.earliest, Next: found.next(), Records: []record{}}
	if asked.from >= found.earliest {
		answer.Records = found.read(asked.from, asked.max)
	}
	return answer, s.changed, s.fault.Mode == Down && s.fault.hits(opRead)
}

func (s *Service) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).reads++
}
