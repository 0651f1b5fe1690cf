//go:build review3

package main

import (
	"bufio"
	"bytes"
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

// keys is the number of keys of a service.
const keys = 1 << 16

// hold is what a backend knows of one key.
type hold struct {
	fence int64
	until time.Time
}

// order is the body of a grant or a release.
type order struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence int64   `json:"fence"`
	HoldS float64 `json:"hold_s"`
}

// backend is a stand-in for a server of the platform. It serves one request at a time on a
// connection, and applies grants and releases as PROTOCOL.md says.
type backend struct {
	id, service, zone string
	// address is where hosts reach the backend.
	address  string
	slots    int
	keyed    bool
	rec      *recorder
	listener net.Listener

	mu      sync.Mutex
	born    time.Time
	dead    bool
	conns   map[*conn]bool
	holds   []hold
	running map[int]int
	states  int
	// taken holds the running requests, waiting is the number of those that wait for a slot.
	taken   chan struct{}
	waiting int
	// granted holds the last grant of each range, by its first key.
	granted map[int]order
	// grantHook, if set, may take over a grant. It returns true if it has, and must then have
	// written what the backend writes, if anything.
	grantHook func(c *conn, o order, arrived time.Time) bool
}

// conn is a connection to a backend.
type conn struct {
	net.Conn
	br *bufio.Reader
	// lastGrantAnswer is the last answer to a grant on this connection.
	lastGrantAnswer []byte
}

func newBackend(rec *recorder, id, service, zone string, keyed bool) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for backend %s: %w", id, err)
	}
	b := &backend{
		id: id, service: service, zone: zone, slots: 2, keyed: keyed, rec: rec,
		taken: make(chan struct{}, 2), granted: make(map[int]order), born: time.Now(), conns: make(map[*conn]bool), listener: l, address: l.Addr().String(), holds: make([]hold, keys), running: make(map[int]int),
	}
	go b.accept(l)
	return b, nil
}

func (b *backend) accept(l net.Listener) {
	for {
		accepted, err := l.Accept()
		if err != nil {
			return
		}
		c := &conn{Conn: accepted, br: bufio.NewReader(accepted)}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serveConn(c)
	}
}

// crash ends the backend: its connections end, and it forgets all.
func (b *backend) crash() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
	b.dead, b.holds, b.states, b.running = true, make([]hold, keys), 0, make(map[int]int)
	b.rec.released(b, 0, keys-1, time.Now())
	b.rec.line("backend %s crashes", b.id)
}

// restart starts the backend again under its id and at its address. It knows nothing of before.
func (b *backend) restart() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return fmt.Errorf("listen again for backend %s: %w", b.id, err)
	}
	b.mu.Lock()
	b.listener, b.born, b.dead = l, time.Now(), false
	b.mu.Unlock()
	b.rec.line("backend %s starts again under its id", b.id)
	go b.accept(l)
	return nil
}

func (b *backend) isDead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dead
}

// entry returns the entry of the backend in the store.
func (b *backend) entry(state string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states++
	return fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d},"status":{"state":%q,"sequence":%d,"warmup_left_s":0}}`,
		b.address, b.born.UnixMilli(), b.service, b.zone, b.slots, state, b.states)
}

func (b *backend) serveConn(c *conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.conns, c)
	}()
	for {
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		arrived := time.Now()
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
			_, _ = io.Copy(io.Discard, r.Body)
			c.answer(http.StatusMisdirectedRequest, map[string]string{"X-Instance-Id": b.id, "X-Not-Executed": "1"}, "")
			continue
		}
		switch r.URL.Path {
		case "/v1/grant", "/v1/release":
			var o order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				c.answer(http.StatusBadRequest, nil, "")
				continue
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/v1/grant" {
				b.serveGrant(c, o, arrived)
			} else {
				b.serveRelease(c, o)
			}
		default:
			b.serveRequest(c, r)
		}
	}
}

// format returns the bytes of an answer.
func format(status int, header map[string]string, body string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return out.Bytes()
}

func (c *conn) answer(status int, header map[string]string, body string) []byte {
	data := format(status, header, body)
	_, _ = c.Write(data)
	return data
}

func (b *backend) serveGrant(c *conn, o order, arrived time.Time) {
	if b.grantHook != nil && b.grantHook(c, o, arrived) {
		return
	}
	status := b.apply(o, arrived, "answered")
	c.lastGrantAnswer = c.answer(status, nil, "")
}

// apply applies a grant. Its time counts from its arrival.
func (b *backend) apply(o order, arrived time.Time, how string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	until := arrived.Add(time.Duration(o.HoldS * float64(time.Second)))
	for k := o.From; k <= o.To; k++ {
		if b.holds[k].fence > o.Fence {
			b.rec.line("backend %s: grant %d-%d fence %d of %.3f: 409, a higher fence was seen (%s)", b.id, o.From, o.To, o.Fence, b.rec.at(arrived), how)
			return http.StatusConflict
		}
	}
	for k := o.From; k <= o.To; k++ {
		b.holds[k] = hold{fence: o.Fence, until: until}
	}
	b.rec.line("backend %s: grant %d-%d fence %d hold_s %.1f, arrived %.3f: applied, held until %.3f (%s)", b.id, o.From, o.To, o.Fence, o.HoldS, b.rec.at(arrived), b.rec.at(until), how)
	b.granted[o.From] = o
	b.rec.held(b, o.From, o.To, now, until)
	return http.StatusOK
}

func (b *backend) serveRelease(c *conn, o order) {
	b.mu.Lock()
	now := time.Now()
	for k := o.From; k <= o.To; k++ {
		if now.Before(b.holds[k].until) {
			b.holds[k].until = now
		}
	}
	b.rec.released(b, o.From, o.To, now)
	b.mu.Unlock()
	for b.busy(o) {
		time.Sleep(time.Millisecond)
	}
	b.rec.line("backend %s: release %d-%d fence %d: answered", b.id, o.From, o.To, o.Fence)
	c.answer(http.StatusOK, map[string]string{"X-Handover": "handover-" + b.id}, "")
}

// busy reports whether a request on a key of an order runs.
func (b *backend) busy(o order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, n := range b.running {
		if n > 0 && k >= o.From && k <= o.To {
			return true
		}
	}
	return false
}

// queueLength is the number of requests that wait for a slot before further ones are refused.
const queueLength = 8

// acquire waits for a slot, and returns false if too many wait.
func (b *backend) acquire() bool {
	b.mu.Lock()
	if b.waiting == queueLength {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	b.taken <- struct{}{}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	return true
}

// serveRequest runs a request for as long as its query says, once there is a slot.
func (b *backend) serveRequest(c *conn, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if err != nil {
		key = -1
	}
	work, err := strconv.Atoi(r.URL.Query().Get("ms"))
	if err != nil {
		work = 50
	}
	if !b.acquire() {
		c.answer(http.StatusServiceUnavailable, map[string]string{"X-Request-Id": id, "X-Not-Executed": "1"}, "")
		return
	}
	defer func() { <-b.taken }()
	if b.keyed {
		b.mu.Lock()
		if key < 0 || !time.Now().Before(b.holds[key].until) {
			b.mu.Unlock()
			c.answer(http.StatusMisdirectedRequest, map[string]string{"X-Request-Id": id, "X-Not-Executed": "1", "X-Instance-Id": b.id}, "")
			return
		}
		b.running[key]++
		b.mu.Unlock()
		defer func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.running[key]--
		}()
	}
	b.rec.run(b.id, id, r.Method, r.URL.RequestURI(), key, body)
	time.Sleep(time.Duration(work) * time.Millisecond)
	load := fmt.Sprintf("%d,0,%d", len(b.taken), b.slots)
	c.answer(http.StatusOK, map[string]string{"X-Request-Id": id, "X-Response-Signature": "sig." + id, "X-Backend-Load": load}, strings.Repeat(b.id+" ran "+id+"\n", 3))
}
