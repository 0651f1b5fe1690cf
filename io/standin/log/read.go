package log

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// record is one record in the response to a read.
type record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// readResponse is the response body of a read.
type readResponse struct {
	Earliest uint64   `json:"earliest"`
	Next     uint64   `json:"next"`
	Records  []record `json:"records"`
}

// goneResponse is the response body of a read from an offset before the earliest
// record, and of a trim.
type goneResponse struct {
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
}

// query holds the parameters of a read. A read from the next offset waits up to
// wait for a record.
type query struct {
	from uint64
	max  int
	wait time.Duration
}

func parseQuery(values url.Values) (query, error) {
	q := query{max: defaultMaxRecords}
	numbers := map[string]uint64{"from": 0, "max": defaultMaxRecords, "wait_ms": 0}
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
	q.from = numbers["from"]
	q.max = int(min(numbers["max"], 10*defaultMaxRecords))
	q.wait = min(time.Duration(numbers["wait_ms"])*time.Millisecond, maxWait)
	return q, nil
}

// serveRead responds with the records from the offset of the query. A read of a
// dropped record gets 410. A read from the next offset waits for a record and
// gets an empty list after its wait.
func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r.URL.Query())
	if err != nil {
		writeError(w, http.StatusBadRequest, "parse query: "+err.Error())
		return
	}
	if _, ok := s.applyFault(w, r, operationRead); !ok {
		return
	}
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	timedOut := q.wait == 0
	for {
		response, changed, down := s.read(r.PathValue("stream"), q)
		if down {
			writeError(w, http.StatusServiceUnavailable, "down")
			return
		}
		if response.Earliest > q.from {
			writeJSON(w, http.StatusGone, goneResponse{Earliest: response.Earliest, Next: response.Next})
			return
		}
		if timedOut || q.from != response.Next {
			s.countRead(r.PathValue("stream"))
			writeJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-s.done:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the response to a query, a channel that is closed at the next
// change, and whether the service is down for reads.
func (s *Service) read(name string, q query) (readResponse, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	response := readResponse{Earliest: st.earliest, Next: st.next(), Records: []record{}}
	if q.from >= st.earliest {
		response.Records = st.read(q.from, q.max)
	}
	return response, s.changed, s.fault.Mode == Down && s.fault.affects(operationRead)
}

func (s *Service) countRead(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).reads++
}
