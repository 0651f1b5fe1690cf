package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// grantBody is the body of a grant or a release.
type grantBody struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence int64   `json:"fence"`
	HoldS float64 `json:"hold_s"`
}

// hold is what a backend knows of a key.
type hold struct {
	fence int64
	until time.Time
	held  bool
}

// run is a request that a backend has begun to work on.
type run struct {
	id, backend string
	key         int
	begun       time.Time
	ended       time.Time
}

// backend is a stand-in for a backend. It speaks what the pages say, and gives some of its answers
// a second time, late, where spoil says so.
type backend struct {
	bed               *bed
	id, service, zone string
	address           string
	keyed             bool
	slots, queue      int
	work              time.Duration
	listener          net.Listener
	stop              context.CancelFunc
	// spoil reports whether an answer is sent once more, late: on the same connection, at the
	// point where the next answer is expected. order is set for the answer to a release.
	spoil func(t *backend, status int, order bool) bool

	mu       sync.Mutex
	draining bool
	sequence int
	born     int64
	running  int
	waiting  int
	freed    chan struct{}
	holds    map[int]hold
	runs     []*run
	// answers counts the answers to requests and orders within a window of the disruption.
	answers, copies int
	grants          []grantEvent
	conns           map[net.Conn]bool
}

// grantEvent is a grant that a backend has accepted, or a release that has reached it.
type grantEvent struct {
	backend  string
	from, to int
	fence    int64
	at       time.Time
	until    time.Time
	release  bool
}

// startBackend starts a backend, which registers itself in the store.
func (b *bed) startBackend(id, zone string, s service, slots, queue int, work time.Duration) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &backend{
		bed: b, id: id, service: s.name, keyed: s.keyed, zone: zone, address: listener.Addr().String(), listener: listener, slots: slots, queue: queue,
		work: work, stop: stop, freed: make(chan struct{}), holds: make(map[int]hold), born: time.Now().UnixMilli(),
		spoil: func(*backend, int, bool) bool { return false }, conns: make(map[net.Conn]bool),
	}
	b.mu.Lock()
	b.backends = append(b.backends, t)
	b.mu.Unlock()
	go t.accept()
	go b.beat(ctx, t)
	b.record.printf("backend %s of %s starts at %s", id, s.name, t.address)
	return t, nil
}

// entry returns the next entry of the backend in the store.
func (t *backend) entry() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"address": t.address, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "capacity": t.slots},
		"status": map[string]any{"state": state, "sequence": t.sequence, "warmup_left_s": 0},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// drain reports that the backend leaves, serves on for a while, and leaves.
func (t *backend) drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.bed.store.PutTarget(t.id, t.entry())
	t.bed.record.printf("backend %s reports that it drains", t.id)
	time.AfterFunc(drainTime+2*time.Second, func() {
		t.stop()
		t.bed.store.PutTarget(t.id, nil)
		t.bed.record.printf("backend %s leaves", t.id)
		time.AfterFunc(200*time.Millisecond, t.close)
	})
}

func (t *backend) close() {
	t.stop()
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}

func (t *backend) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		go t.serve(conn)
	}
}

// serve answers the requests of a connection, one at a time.
func (t *backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		// An order begins when it arrives, a request when it is run.
		begin := func() {
			if late == nil {
				return
			}
			t.bed.record.printf("%s sends an earlier answer on %s once more, where the answer to %s %s %s is due", t.id, conn.RemoteAddr(), r.Method, r.URL.Path, r.Header.Get("X-Request-Id"))
			_, _ = conn.Write(late)
			late = nil
		}
		gone := make(chan struct{})
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := reader.Peek(1); err != nil {
				close(gone)
			}
		}()
		status, header, text := t.answer(r, body, begin, gone)
		select {
		case <-gone:
			return
		default:
		}
		data := encode(status, header, text)
		if t.spoil(t, status, r.URL.Path == "/v1/release") {
			late = data
			t.bed.record.printf("%s will send its answer %d to %s %s once more on %s", t.id, status, r.Method, r.URL.Path, conn.RemoteAddr())
		}
		if _, err := conn.Write(data); err != nil {
			return
		}
		<-peeked
		select {
		case <-gone:
			return
		default:
		}
	}
}

func encode(status int, header map[string]string, body string) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	return []byte(text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

func (t *backend) answer(r *http.Request, body []byte, begin func(), gone <-chan struct{}) (status int, header map[string]string, text string) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		return http.StatusMisdirectedRequest, map[string]string{"X-Instance-Id": t.id, "X-Not-Executed": "1"}, ""
	}
	switch r.URL.Path {
	case "/v1/grant":
		begin()
		return t.grant(body)
	case "/v1/release":
		begin()
		return t.release(body, gone)
	case "/health":
		return http.StatusOK, map[string]string{"X-Instance-Id": t.id, "X-Backend-Load": t.load()}, ""
	}
	return t.request(r, begin, gone)
}

func (t *backend) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", t.running, t.waiting, t.slots)
}

// refuse answers that the request was not run and will not be, as the wire examples show it.
func (t *backend) refuse(r *http.Request, status int) (int, map[string]string, string) {
	t.bed.record.printf("%s refuses %s with %d", t.id, r.Header.Get("X-Request-Id"), status)
	return status, map[string]string{"X-Not-Executed": "1", "X-Backend-Load": t.load()}, ""
}

// request runs a request of a client.
func (t *backend) request(r *http.Request, begin func(), gone <-chan struct{}) (int, map[string]string, string) {
	id := r.Header.Get("X-Request-Id")
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if err != nil {
		key = -1
	}
	deadline := time.NewTimer(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.NewTimer(time.Duration(ms) * time.Millisecond)
	}
	defer deadline.Stop()
	t.mu.Lock()
	if t.running >= t.slots && t.waiting >= t.queue {
		t.mu.Unlock()
		return t.refuse(r, http.StatusServiceUnavailable)
	}
	t.waiting++
	for t.running >= t.slots {
		freed := t.freed
		t.mu.Unlock()
		select {
		case <-freed:
		case <-gone:
		case <-deadline.C:
			t.mu.Lock()
			t.waiting--
			t.mu.Unlock()
			return t.refuse(r, http.StatusServiceUnavailable)
		}
		t.mu.Lock()
		select {
		case <-gone:
			t.waiting--
			t.mu.Unlock()
			return 0, nil, ""
		default:
		}
	}
	t.waiting--
	if h := t.holds[key]; t.keyed && (!h.held || !time.Now().Before(h.until)) {
		t.mu.Unlock()
		return t.refuse(r, http.StatusMisdirectedRequest)
	}
	t.running++
	n := &run{id: id, backend: t.id, key: key, begun: time.Now()}
	t.runs = append(t.runs, n)
	t.mu.Unlock()
	t.bed.record.printf("%s runs %s, key %d", t.id, id, key)
	begin()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.running--
		n.ended = time.Now()
		close(t.freed)
		t.freed = make(chan struct{})
	}()
	select {
	case <-time.After(t.work):
	case <-gone:
		t.bed.record.printf("%s drops %s: its connection has ended", t.id, id)
		return 0, nil, ""
	case <-deadline.C:
		return http.StatusGatewayTimeout, map[string]string{"X-Request-Id": id, "X-Response-Signature": "sig." + id}, ""
	}
	t.bed.record.printf("%s has run %s", t.id, id)
	return http.StatusOK, map[string]string{"X-Request-Id": id, "X-Response-Signature": "sig." + id, "X-Backend-Load": t.load()}, t.id + " ran " + id
}

func (t *backend) grant(body []byte) (int, map[string]string, string) {
	var g grantBody
	if err := json.Unmarshal(body, &g); err != nil || g.From > g.To || !t.keyed {
		return http.StatusBadRequest, nil, ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := g.From; key <= g.To; key++ {
		if t.holds[key].fence > g.Fence {
			return http.StatusConflict, nil, ""
		}
	}
	now := time.Now()
	until := now.Add(time.Duration(g.HoldS * float64(time.Second)))
	for key := g.From; key <= g.To; key++ {
		t.holds[key] = hold{fence: g.Fence, until: until, held: true}
	}
	t.grants = append(t.grants, grantEvent{backend: t.id, from: g.From, to: g.To, fence: g.Fence, at: now, until: until})
	t.bed.record.printf("%s is granted %d to %d, fence %d, for %gs", t.id, g.From, g.To, g.Fence, g.HoldS)
	return http.StatusOK, nil, ""
}

// release stops new work on the keys at once, and answers when the work that runs has ended.
func (t *backend) release(body []byte, gone <-chan struct{}) (int, map[string]string, string) {
	var g grantBody
	if err := json.Unmarshal(body, &g); err != nil || g.From > g.To {
		return http.StatusBadRequest, nil, ""
	}
	t.mu.Lock()
	for key := g.From; key <= g.To; key++ {
		if h := t.holds[key]; h.fence <= g.Fence {
			h.held = false
			t.holds[key] = h
		}
	}
	t.grants = append(t.grants, grantEvent{backend: t.id, from: g.From, to: g.To, fence: g.Fence, at: time.Now(), release: true})
	t.bed.record.printf("%s is to release %d to %d, fence %d", t.id, g.From, g.To, g.Fence)
	for t.working(g.From, g.To) {
		freed := t.freed
		t.mu.Unlock()
		select {
		case <-freed:
		case <-gone:
			return 0, nil, ""
		}
		t.mu.Lock()
	}
	t.mu.Unlock()
	t.bed.record.printf("%s has released %d to %d", t.id, g.From, g.To)
	return http.StatusOK, map[string]string{"X-Handover": fmt.Sprintf("%s-%d", t.id, g.From)}, ""
}

// working reports whether a request with a key in a range runs. The caller holds mu.
func (t *backend) working(from, to int) bool {
	for _, n := range t.runs {
		if n.ended.IsZero() && n.key >= from && n.key <= to {
			return true
		}
	}
	return false
}
