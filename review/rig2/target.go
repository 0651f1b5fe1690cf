//go:build review2

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
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a target.
type run struct {
	id     string
	target string
	at     time.Time
	// brokenOff is when the caller has closed the connection while the target was at work; zero for never.
	brokenOff time.Time
}

func (r run) String() string {
	text := fmt.Sprintf("at %s at %s", r.target, r.at.Format(clockForm))
	if !r.brokenOff.IsZero() {
		text += ", broken off at " + r.brokenOff.Format(clockForm)
	}
	return text
}

// clockForm is the form of times in the record.
const clockForm = "15:04:05.000"

// runs holds the runs at all targets.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(id, target string) (index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run{id: id, target: target, at: time.Now()})
	return len(r.all) - 1
}

// breakOff records that the caller of a run has left while the target was at work.
func (r *runs) breakOff(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[index].brokenOff = time.Now()
}

// byID returns the runs of each request.
func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string][]run)
	for _, one := range r.all {
		all[one.id] = append(all[one.id], one)
	}
	return all
}

// target is a stand-in for a back end, written by the platform's pages.
type target struct {
	id, service, address, zone string
	slots, queue               int
	keyed                      bool
	work                       func() time.Duration
	runs                       *runs
	play                       *play
	listener                   net.Listener
	// copies decides after each answer whether the target, which is faulty then, writes the
	// answer once more when the next one is due on the connection. sheds decides whether it
	// refuses a request although it has room.
	copies, sheds func() bool
	// body is that of its answers, nil for a short one. breaks decides whether the target, which is
	// faulty then, breaks an answer off near its end.
	body   []byte
	breaks func() bool

	mu       sync.Mutex
	sequence int
	running  int
	waiting  int
	free     chan struct{}
	fences   [1 << 16]int64
	until    [1 << 16]time.Time
	copied   int
	refused  int
	// busy is the number of requests that run for each key.
	busy map[int]int
}

// heartbeat is the time between two entries of a target.
const heartbeat = 870 * time.Millisecond

// addTarget starts a target.
func (p *play) addTarget(t *target, number int) error {
	t.play, t.free, t.busy = p, make(chan struct{}), make(map[int]int)
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", p.net, 101+number))
	if err != nil {
		return err
	}
	t.listener, t.address = l, l.Addr().String()
	go t.accept()
	t.register()
	go func() {
		for p.ctx.Err() == nil {
			time.Sleep(heartbeat)
			t.register()
		}
	}()
	return nil
}

// register writes the target's entry to the store.
func (t *target) register() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	t.play.store.PutTarget(t.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d},"status":{"state":"ready","sequence":%d,"warmup_left_s":0.0}}`,
		t.address, t.play.started.UnixMilli(), t.service, t.zone, t.slots, t.sequence))
}

func (t *target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(conn)
	}
}

// connection is a caller's connection with the target.
type connection struct {
	net.Conn
	// owed is a copy of an answer that the target still writes.
	owed string
}

// serve serves the requests of a connection, one at a time.
func (t *target) serve(conn net.Conn) {
	defer conn.Close()
	c := &connection{Conn: conn}
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		answer := make(chan string, 1)
		go func() { answer <- t.answer(ctx, r, body, c) }()
		// A caller that has closed the connection gets no answer, and its request ends.
		next := make(chan error, 1)
		go func() {
			_, err := reader.Peek(1)
			next <- err
		}()
		var text string
		select {
		case text = <-answer:
			cancel()
			if _, err := io.WriteString(conn, text); err != nil || !complete(text) || <-next != nil {
				return
			}
		case err := <-next:
			if err != nil {
				cancel()
				<-answer
				return
			}
			text = <-answer
			cancel()
			if _, err := io.WriteString(conn, text); err != nil || !complete(text) {
				return
			}
		}
	}
}

// complete reports whether an answer is as long as it says. The target closes the connection after one that
// it breaks off.
func complete(text string) bool {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

func reply(status int, header string, body []byte) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// answer handles a request and returns the answer.
func (t *target) answer(ctx context.Context, r *http.Request, body []byte, c *connection) string {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		return reply(http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\nX-Instance-Id: "+t.id+"\r\n", nil)
	}
	switch r.URL.Path {
	case "/v1/grant", "/v1/release":
		return t.order(r.URL.Path, body)
	case "/health":
		return reply(http.StatusOK, "X-Instance-Id: "+t.id+"\r\n", nil)
	}
	if c.owed != "" {
		// The fault: an extra answer comes late, where the next one is expected.
		_, _ = io.WriteString(c, c.owed)
		c.owed = ""
		t.mu.Lock()
		t.copied++
		t.mu.Unlock()
	}
	text := t.request(ctx, r)
	if t.copies != nil && t.copies() {
		c.owed = text
	}
	return text
}

// request runs a request, or refuses it.
func (t *target) request(ctx context.Context, r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	refuse := func(status int) string {
		t.mu.Lock()
		t.refused++
		t.mu.Unlock()
		return reply(status, "X-Request-Id: "+id+"\r\nX-Not-Executed: 1\r\n", nil)
	}
	if t.sheds != nil && t.sheds() || !t.acquire(ctx) {
		return refuse(http.StatusServiceUnavailable)
	}
	defer t.release()
	if t.keyed {
		key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
		if err != nil || !t.begin(key) {
			return refuse(http.StatusMisdirectedRequest)
		}
		defer t.finish(key)
	}
	index := t.runs.add(id, t.id)
	select {
	case <-time.After(t.work()):
	case <-ctx.Done():
		t.runs.breakOff(index)
		return ""
	}
	body := t.body
	if body == nil {
		body = []byte("done " + id)
	}
	text := reply(http.StatusOK, "X-Request-Id: "+id+"\r\nX-Response-Signature: s."+id+"\r\n", body)
	if t.breaks != nil && t.breaks() {
		return text[:len(text)-len(text)/20]
	}
	return text
}

// acquire waits for a slot. It returns false if the queue is full or the caller has gone.
func (t *target) acquire(ctx context.Context) bool {
	t.mu.Lock()
	if t.running >= t.slots && t.waiting >= t.queue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	for t.running >= t.slots {
		free := t.free
		t.mu.Unlock()
		select {
		case <-free:
		case <-ctx.Done():
			t.mu.Lock()
			t.waiting--
			t.mu.Unlock()
			return false
		}
		t.mu.Lock()
	}
	t.waiting--
	t.running++
	t.mu.Unlock()
	return true
}

func (t *target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	close(t.free)
	t.free = make(chan struct{})
}

// begin begins a request for a key, if the target holds it.
func (t *target) begin(key int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !time.Now().Before(t.until[key]) {
		return false
	}
	t.busy[key]++
	return true
}

func (t *target) finish(key int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy[key]--
}

// awaitIdle waits until no request runs for a range of keys.
func (t *target) awaitIdle(from, to int) {
	for t.play.ctx.Err() == nil {
		t.mu.Lock()
		running := 0
		for key, n := range t.busy {
			if key >= from && key <= to {
				running += n
			}
		}
		t.mu.Unlock()
		if running == 0 {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// order carries out a grant or a release.
func (t *target) order(path string, body []byte) string {
	var o struct {
		From, To int
		Fence    int64
		HoldS    float64 `json:"hold_s"`
	}
	if err := json.Unmarshal(body, &o); err != nil || o.From < 0 || o.To > 65535 || o.From > o.To {
		return reply(http.StatusBadRequest, "", nil)
	}
	if path == "/v1/release" {
		t.mu.Lock()
		for key := o.From; key <= o.To; key++ {
			t.until[key] = time.Time{}
		}
		t.mu.Unlock()
		t.awaitIdle(o.From, o.To)
		return reply(http.StatusOK, "X-Handover: h\r\n", nil)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for key := o.From; key <= o.To; key++ {
		if t.fences[key] > o.Fence {
			return reply(http.StatusConflict, "", nil)
		}
	}
	for key := o.From; key <= o.To; key++ {
		t.fences[key], t.until[key] = o.Fence, now.Add(time.Duration(o.HoldS*float64(time.Second)))
	}
	return reply(http.StatusOK, "", nil)
}
