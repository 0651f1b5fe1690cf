// Package platformstore is a stand-in for the platform's metadata store: a log
// of topics, the newest record of each key, and consumer groups. It keeps all
// data in memory and can inject faults.
package platformstore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// keyedPrefix starts the names of topics whose records have keys.
	keyedPrefix = "keyed."
	// recordHeaderBytes is the size of a record's length prefix.
	recordHeaderBytes = 4
	// maxRequestBytes is the size after which a request body is truncated.
	maxRequestBytes = 2 << 20
	// maxWait is the upper bound of the time for which a read waits for records.
	maxWait = 30 * time.Second
)

// record is the data of a record, without its length prefix.
type record []byte

// topic holds the single partition of a topic. The record at index i has the
// offset first+i. In topics with keyedPrefix, newest holds the newest value of
// each key.
type topic struct {
	first   int64
	records []record
	newest  map[string]keyedRecord
}

type keyedRecord struct {
	value  []byte
	offset int64
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// Store is an in-memory metadata store. It is safe for concurrent use. The lock
// mu guards all fields; appended is closed and replaced at each append.
type Store struct {
	mu            sync.Mutex
	topics        map[string]*topic
	groups        map[string]*group
	fault         Fault
	appended      chan struct{}
	requestCounts map[string]int
	// hasEra reports whether responses state era.
	hasEra bool
	era    int64
	copies []storeCopy
	// awayMode is the Fault.Mode of all requests while the store is away. lost is
	// closed and replaced when it goes away.
	awayMode string
	lost     chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		topics: make(map[string]*topic), groups: make(map[string]*group), appended: make(chan struct{}),
		requestCounts: make(map[string]int), lost: make(chan struct{}),
	}
}

// Handler returns the handler of the store's API, and of PUT /standin/record, fault,
// copy and return, which tests use to write records, inject faults, take copies and have
// the store come back from one.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.injectFault(s.serveAppend))
	mux.HandleFunc("GET /v1/log-read", s.injectFault(s.serveRead))
	mux.HandleFunc("GET /v1/log-newest", s.injectFault(s.serveNewest))
	mux.HandleFunc("POST /v1/log-join", s.injectFault(s.serveJoin))
	mux.HandleFunc("POST /v1/log-leave", s.injectFault(s.serveLeave))
	mux.HandleFunc("PUT /standin/record", s.serveRecord)
	mux.HandleFunc("PUT /standin/fault", s.serveFault)
	mux.HandleFunc("PUT /standin/copy", s.serveCopy)
	mux.HandleFunc("PUT /standin/return", s.serveReturn)
	return mux
}

// RequestCount returns the number of API requests received for a path.
func (s *Store) RequestCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[path]
}

// Put appends a value for a key to a topic. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecords(name, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// Newest returns the newest value of a key, nil if the key is absent.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

// topic returns the named topic and creates it if absent. The caller holds s.mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyedRecord)}
		s.topics[name] = t
	}
	return t
}

// notifyReaders wakes reads that wait for records. The caller holds s.mu.
func (s *Store) notifyReaders() {
	close(s.appended)
	s.appended = make(chan struct{})
}

// appendRecords appends records to a topic. In a keyed topic, a record starts
// with the length of the key in one byte and the key. The caller holds s.mu.
func (s *Store) appendRecords(name string, records [][]byte) {
	t := s.topic(name)
	for _, data := range records {
		offset := t.end()
		t.records = append(t.records, data)
		if !strings.HasPrefix(name, keyedPrefix) || len(data) == 0 {
			continue
		}
		key, value := string(data[1:1+data[0]]), data[1+int(data[0]):]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyedRecord{value: value, offset: offset}
		}
	}
	s.notifyReaders()
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	records, ok := decodeRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	name := r.URL.Query().Get("topic")
	t := s.topic(name)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end_offset": t.end()})
		return
	}
	offset := t.end()
	s.appendRecords(name, records)
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end_offset": t.end()})
}

// decodeRecords splits a body into records, each with a big-endian length prefix
// of recordHeaderBytes. It returns false if the last record is truncated.
func decodeRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < recordHeaderBytes {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < recordHeaderBytes+n {
			return nil, false
		}
		records = append(records, slices.Clone(body[recordHeaderBytes:recordHeaderBytes+n]))
		body = body[recordHeaderBytes+n:]
	}
	return records, true
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for {
		ended, appended, lost := s.read(w, query.Get("topic"), from, wait == 0)
		if ended {
			return
		}
		select {
		case <-appended:
		case <-lost:
			panic(http.ErrAbortHandler)
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// read responds to a read with the topic's end and first offset, then the records from
// an offset on with their length prefixes. The status is 410 if the topic has no such
// offset. Without records it responds only if atOnce is set; otherwise it returns false,
// and channels that are closed at the next append and when the store goes away.
func (s *Store) read(w http.ResponseWriter, name string, from int64, atOnce bool) (ended bool, appended, lost <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	s.stateEra(w)
	if from < t.first || from > t.end() {
		writeJSON(w, http.StatusGone, map[string]int64{"first_offset": t.first})
		return true, nil, nil
	}
	if from == t.end() && !atOnce {
		return false, s.appended, s.lost
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	data = binary.BigEndian.AppendUint64(data, uint64(t.first))
	for _, one := range t.records[from-t.first:] {
		data = binary.BigEndian.AppendUint32(data, uint32(len(one)))
		data = append(data, one...)
	}
	_, _ = w.Write(data)
	return true, nil, nil
}

// item is one record in a page of newest records.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// pageSize is the maximum number of records in one page of newest records.
const pageSize = 500

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	items := []item{}
	for key, k := range t.newest {
		if key > after {
			items = append(items, item{Key: key, Value: k.value, Offset: k.offset})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(items) > pageSize
	if hasMore {
		items = items[:pageSize]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "end_offset": t.end()})
}

func (s *Store) serveRecord(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Put(r.URL.Query().Get("topic"), r.URL.Query().Get("key"), value)
}

// callerIP returns the IP address from which a request was sent.
func callerIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
