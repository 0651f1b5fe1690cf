// Package platformstore is a stand-in for the platform's metadata store: a log
// of topics, the newest record of each key, and groups of members. It keeps
// everything in memory and can be told to misbehave.
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
	keyedPrefix  = "keyed."
	recordHeader = 4
	maxCall      = 2 << 20
	maxWait      = 30 * time.Second
)

// record is a record's bytes, without its length.
type record []byte

// topic is a topic's only partition.
type topic struct {
	first   int64
	records []record
	newest  map[string]kept
}

type kept struct {
	value  []byte
	offset int64
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	fault  Fault
	grown  chan struct{}
	calls  map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		topics: make(map[string]*topic), groups: make(map[string]*group), grown: make(chan struct{}),
		calls: make(map[string]int),
	}
}

// Handler returns the handler of the store's calls, and of PUT /standin/record
// and PUT /standin/fault for tests.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.faulty(s.serveAppend))
	mux.HandleFunc("GET /v1/log-read", s.faulty(s.serveRead))
	mux.HandleFunc("GET /v1/log-newest", s.faulty(s.serveNewest))
	mux.HandleFunc("POST /v1/log-join", s.faulty(s.serveJoin))
	mux.HandleFunc("POST /v1/log-leave", s.faulty(s.serveLeave))
	mux.HandleFunc("PUT /standin/record", s.servePut)
	mux.HandleFunc("PUT /standin/fault", s.serveFault)
	return mux
}

// RequestCount returns how often a call was made, by its path.
func (s *Store) RequestCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a key's value as its owner would; an empty value deletes it.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// Newest returns a key's newest value.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]kept)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *Store) add(name string, records [][]byte) {
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
			t.newest[key] = kept{value: value, offset: offset}
		}
	}
	s.wake()
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCall))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	records, ok := split(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	t := s.topic(name)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end_offset": t.end()})
		return
	}
	offset := t.end()
	s.add(name, records)
	reply(w, http.StatusOK, map[string]int64{"offset": offset, "end_offset": t.end()})
}

func split(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < recordHeader {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < recordHeader+n {
			return nil, false
		}
		records = append(records, slices.Clone(body[recordHeader:recordHeader+n]))
		body = body[recordHeader+n:]
	}
	return records, true
}

func reply(w http.ResponseWriter, status int, message any) {
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
		data, status, grown := s.read(query.Get("topic"), from)
		if status != http.StatusOK || len(data) > 0 || wait == 0 {
			s.writeRead(w, query.Get("topic"), status, data)
			return
		}
		select {
		case <-grown:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) read(name string, from int64) (data []byte, status int, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first {
		return nil, http.StatusGone, nil
	}
	for i := from; i < t.end(); i++ {
		one := t.records[i-t.first]
		data = binary.BigEndian.AppendUint32(data, uint32(len(one)))
		data = append(data, one...)
	}
	return data, http.StatusOK, s.grown
}

func (s *Store) writeRead(w http.ResponseWriter, name string, status int, data []byte) {
	s.mu.Lock()
	t := s.topic(name)
	first, end := t.first, t.end()
	s.mu.Unlock()
	if status == http.StatusGone {
		reply(w, status, map[string]int64{"first_offset": first})
		return
	}
	head := binary.BigEndian.AppendUint64(nil, uint64(end))
	head = binary.BigEndian.AppendUint64(head, uint64(first))
	_, _ = w.Write(append(head, data...))
}

type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// pageItems is the number of records in one page of newest records.
const pageItems = 500

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	items := []item{}
	for key, k := range t.newest {
		if key > after {
			items = append(items, item{Key: key, Value: k.value, Offset: k.offset})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": t.end()})
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxCall))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Put(r.URL.Query().Get("topic"), r.URL.Query().Get("key"), value)
}

// hostOf returns the IP address of a call's sender.
func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
