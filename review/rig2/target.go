//go:build review2

package main

import (
	"bufio"
	"context"
	"crypto/sha1"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
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

	// before returns headers for the answer to a request and, if it is refused, the status.
	before func(*http.Request) (headers string, status int)

	// late decides whether an order gets no answer and is carried out late.
	late     func() bool
	fenceLog *fenceLog
	dead     bool
	echo     bool
	lateKeys [1 << 16]bool

	mu       sync.Mutex
	sequence int
	state    string
	running  int
	waiting  int
	free     chan struct{}
	fences   [1 << 16]int64
	until    [1 << 16]time.Time
	conns    map[net.Conn]bool
	copied   int
	refused  int
}

// heartbeat is the time between two entries of a target.
const heartbeat = 870 * time.Millisecond

// addTarget starts a target.
func (p *play) addTarget(t *target, number int) error {
	t.play, t.state, t.free, t.conns = p, "ready", make(chan struct{}), make(map[net.Conn]bool)
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
	if t.state == "" {
		return
	}
	t.sequence++
	t.play.store.PutTarget(t.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d},"status":{"state":%q,"sequence":%d,"warmup_left_s":0.0}}`,
		t.address, t.play.started.UnixMilli(), t.service, t.zone, t.slots, t.state, t.sequence))
}

func (t *target) accept() {
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

func (t *target) closeConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
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
			if text == "" {
				// No answer: the connection stays silent.
				<-next
				return
			}
			if _, err := io.WriteString(conn, text); err != nil || <-next != nil {
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
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
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
	if t.echo {
		id := r.Header.Get("X-Request-Id")
		t.runs.add(id, t.id)
		time.Sleep(t.work())
		return reply(200, "X-Request-Id: "+id+"\r\nX-Response-Signature: s\r\n", []byte(fmt.Sprintf("%s %s %x", r.Method, r.RequestURI, sha1.Sum(body))))
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
	headers := ""
	refuse := func(status int) string {
		t.mu.Lock()
		t.refused++
		t.mu.Unlock()
		return reply(status, headers+"X-Request-Id: "+id+"\r\nX-Not-Executed: 1\r\n", nil)
	}
	if t.before != nil {
		var status int
		if headers, status = t.before(r); status != 0 {
			return reply(status, headers+"X-Request-Id: "+id+"\r\n", nil)
		}
	}
	if t.sheds != nil && t.sheds() || !t.acquire(ctx) {
		return refuse(http.StatusServiceUnavailable)
	}
	defer t.release()
	if t.keyed {
		key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
		if err != nil || !t.holds(key) {
			return refuse(http.StatusMisdirectedRequest)
		}
	}
	index := t.runs.add(id, t.id)
	select {
	case <-time.After(t.work()):
	case <-ctx.Done():
		t.runs.breakOff(index)
		return ""
	}
	return reply(http.StatusOK, headers+"X-Request-Id: "+id+"\r\nX-Response-Signature: s."+id+"\r\n", []byte("done "+id))
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

func (t *target) holds(key int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.until[key])
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
	now := time.Now()
	isLate := t.late != nil && t.late()
	if isLate {
		go func() {
			time.Sleep(2*time.Second + time.Duration(rand.Float64()*10*float64(time.Second)))
			t.carryOut(path, o.From, o.To, o.Fence, o.HoldS, now, true)
		}()
		return ""
	}
	return t.carryOut(path, o.From, o.To, o.Fence, o.HoldS, now, false)
}

func (t *target) carryOut(path string, from, to int, fence int64, holdS float64, arrived time.Time, isLate bool) string {
	o := struct {
		From, To int
		Fence    int64
		HoldS    float64
	}{from, to, fence, holdS}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := arrived
	if path == "/v1/release" {
		for key := o.From; key <= o.To; key++ {
			t.until[key] = time.Time{}
		}
		return reply(http.StatusOK, "X-Handover: h\r\n", nil)
	}
	for key := o.From; key <= o.To; key++ {
		if t.fences[key] > o.Fence {
			return reply(http.StatusConflict, "", nil)
		}
	}
	if t.fenceLog != nil && now.Add(time.Duration(o.HoldS*float64(time.Second))).After(time.Now()) && !t.dead {
		t.fenceLog.accept(t.play, t, o.From, o.To, o.Fence)
	}
	for key := o.From; key <= o.To; key++ {
		t.lateKeys[key] = isLate
		t.fences[key], t.until[key] = o.Fence, now.Add(time.Duration(o.HoldS*float64(time.Second)))
	}
	return reply(http.StatusOK, "", nil)
}
