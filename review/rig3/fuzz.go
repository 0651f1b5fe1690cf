package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pineturn/io/standin/platformstore"
)

type sentRequest struct {
	method, uri string
	sum         [32]byte
	unsafe      bool
	status      int
	host        string
}

type fuzzer struct {
	r  *rig
	mu sync.Mutex
	// sent holds what clients have sent, by id.
	sent     map[string]*sentRequest
	findings []string
	counts   map[string]int
	next     int
	stop     chan struct{}
	faulty   bool
}

func (f *fuzzer) find(form string, args ...any) {
	f.r.rec.line("FINDING "+form, args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.findings = append(f.findings, fmt.Sprintf(form, args...))
}

func answerBody(backend, id string, size int) string {
	line := backend + " ran " + id + "\n"
	return strings.Repeat(line, size/len(line)+1)
}

// serve answers a request as a backend, faulty at times.
func (f *fuzzer) serve(b *backend, fault *int) func(c *conn, r *http.Request) bool {
	return func(c *conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		size := 200
		if s := r.URL.Query().Get("size"); s != "" {
			size, _ = strconv.Atoi(s)
		}
		refuse := func(status int) {
			h := map[string]string{"X-Not-Executed": "1", "X-Backend-Load": "2,8,2"}
			if rand.IntN(2) == 0 {
				h["X-Request-Id"] = id
			}
			c.answer(status, h, "")
		}
		if rand.Float64() < 0.03 {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return true
			}
			refuse(503)
			return true
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			_ = c.Close()
			return true
		}
		key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
		if err != nil {
			key = -1
		}
		if b.keyed {
			b.mu.Lock()
			if key < 0 || !time.Now().Before(b.holds[key].until) {
				b.mu.Unlock()
				c.answer(421, map[string]string{"X-Request-Id": id, "X-Not-Executed": "1", "X-Instance-Id": b.id}, "")
				return true
			}
			b.running[key]++
			b.mu.Unlock()
			defer func() {
				b.mu.Lock()
				b.running[key]--
				b.mu.Unlock()
			}()
		}
		f.ran(b, id, r, body)
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		if rand.Float64() < 0.01 {
			time.Sleep(700 * time.Millisecond)
		}
		text := answerBody(b.id, id, size)
		h := map[string]string{"X-Request-Id": id, "X-Response-Signature": "sig." + id + "." + strconv.Itoa(len(text)), "X-Backend-Load": "1,0,2"}
		x := rand.Float64()
		if *fault == 0 {
			x = 1
		}
		switch {
		case x < 0.01: // lost
			reset(c.Conn)
		case x < 0.02: // cut
			data := format(200, h, text)
			_, _ = c.Write(data[:len(data)*2/3])
			reset(c.Conn)
		case x < 0.03: // extra
			data := format(200, h, text)
			_, _ = c.Write(append(data, data...))
		case x < 0.04: // extra late
			data := format(200, h, text)
			_, _ = c.Write(data)
			go func() {
				time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
				_, _ = c.Write(data)
			}()
		case x < 0.07: // unframed
			var out bytes.Buffer
			fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
			for k, v := range h {
				fmt.Fprintf(&out, "%s: %s\r\n", k, v)
			}
			out.WriteString("\r\n")
			if x < 0.05 {
				out.WriteString(text[:len(text)/2])
				_, _ = c.Write(out.Bytes())
				time.Sleep(5 * time.Millisecond)
				reset(c.Conn)
				return true
			}
			out.WriteString(text)
			_, _ = c.Write(out.Bytes())
			_ = c.Close()
		case x < 0.08:
			c.answer(500, map[string]string{"X-Request-Id": id, "X-Response-Signature": "sig." + id}, "failed")
		case x < 0.12: // chunked
			var out bytes.Buffer
			fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")
			for k, v := range h {
				fmt.Fprintf(&out, "%s: %s\r\n", k, v)
			}
			out.WriteString("\r\n")
			rest := text
			for len(rest) > 0 {
				n := min(len(rest), 1+rand.IntN(5000))
				fmt.Fprintf(&out, "%x\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			out.WriteString("0\r\n\r\n")
			data := out.Bytes()
			if x < 0.09 {
				_, _ = c.Write(data[:len(data)*3/4])
				_ = c.Close()
				return true
			}
			_, _ = c.Write(data)
		default:
			c.answer(200, h, text)
		}
		return true
	}
}

func (f *fuzzer) ran(b *backend, id string, r *http.Request, body []byte) {
	f.r.rec.run(b.id, id, r.Method, r.URL.RequestURI(), nil)
	f.mu.Lock()
	s := f.sent[id]
	f.counts["run"]++
	n := 0
	if s != nil && s.unsafe {
		f.counts["run "+id]++
		n = f.counts["run "+id]
	}
	status := 0
	if s != nil {
		status = s.status
	}
	f.mu.Unlock()
	switch {
	case s == nil:
		f.find("UNASKED: id %s", id)
	case s.method != r.Method || s.uri != r.RequestURI || s.sum != sha256.Sum256(body):
		f.find("UNASKED: id %s changed: %s %s, %d bytes", id, r.Method, r.RequestURI, len(body))
	case n > 1:
		f.find("TWICE: id %s", id)
	case s.unsafe && (status == 503 || status == 429):
		f.find("REFUSED: id %s runs after the refusal", id)
	}
}

type planned struct {
	id, method, uri string
	key             int
	body            []byte
	unsafe          bool
}

func (f *fuzzer) newRequest(pipelined bool) planned {
	f.mu.Lock()
	f.next++
	p := planned{id: fmt.Sprintf("%08x%d", f.next*7919, f.next), method: "GET", key: -1}
	f.mu.Unlock()
	size := 100 + rand.IntN(1000)
	switch x := rand.IntN(20); {
	case x == 0:
		size = 200000 + rand.IntN(900000)
	case x < 3:
		size = 10000 + rand.IntN(50000)
	}
	p.uri = fmt.Sprintf("/cover/x%d?size=%d&a=%%20b;c", rand.IntN(1000), size)
	x := rand.IntN(10)
	switch {
	case x < 3 && !pipelined:
		p.method, p.unsafe = "POST", true
		p.uri = fmt.Sprintf("/payout/x%d?size=%d", rand.IntN(1000), size)
		n := rand.IntN(3000)
		if rand.IntN(8) == 0 {
			n = 200000 + rand.IntN(400000)
		}
		p.body = make([]byte, n)
		for i := range p.body {
			p.body[i] = byte(rand.IntN(256))
		}
	case x < 6:
		p.uri = fmt.Sprintf("/records/x%d?size=%d", rand.IntN(1000), size)
		p.key = rand.IntN(keys)
	}
	f.mu.Lock()
	f.sent[p.id] = &sentRequest{method: p.method, uri: p.uri, sum: sha256.Sum256(p.body), unsafe: p.unsafe}
	f.mu.Unlock()
	return p
}

func (p planned) bytes(last bool) (data []byte) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n", p.method, p.uri, p.id)
	if p.key >= 0 {
		fmt.Fprintf(&out, "X-Shard-Key: %d\r\n", p.key)
	}
	if last {
		out.WriteString("Connection: close\r\n")
	}
	switch {
	case p.body == nil:
		out.WriteString("\r\n")
	case rand.IntN(2) == 0:
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(p.body))
		out.Write(p.body)
	default:
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		rest := p.body
		for len(rest) > 0 {
			n := min(len(rest), 1+rand.IntN(20000))
			fmt.Fprintf(&out, "%x\r\n", n)
			out.Write(rest[:n])
			out.WriteString("\r\n")
			rest = rest[n:]
		}
		out.WriteString("0\r\n\r\n")
	}
	return out.Bytes()
}

func (f *fuzzer) client() {
	for {
		select {
		case <-f.stop:
			return
		default:
		}
		f.connection()
		time.Sleep(time.Duration(rand.IntN(50)) * time.Millisecond)
	}
}

func (f *fuzzer) count(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[what]++
}

func (f *fuzzer) connection() {
	h := f.r.hosts[rand.IntN(len(f.r.hosts))]
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		f.count("no connection")
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for turn := 0; turn < 20; turn++ {
		select {
		case <-f.stop:
			return
		default:
		}
		n := 1
		if rand.IntN(4) == 0 {
			n = 2 + rand.IntN(5)
		}
		last := rand.IntN(20) == 0
		var batch []planned
		var data []byte
		for i := range n {
			p := f.newRequest(n > 1 && i > 0 || n > 1 && rand.IntN(3) > 0)
			batch = append(batch, p)
			data = append(data, p.bytes(last && i == n-1)...)
		}
		go func() {
			for len(data) > 0 {
				m := len(data)
				if rand.IntN(3) == 0 {
					m = min(m, 1+rand.IntN(4000))
				}
				if _, err := c.Write(data[:m]); err != nil {
					return
				}
				data = data[m:]
				if len(data) > 0 && rand.IntN(4) == 0 {
					time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
				}
			}
		}()
		if rand.IntN(40) == 0 {
			time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			f.count("left")
			return
		}
		for _, p := range batch {
			_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
			closes, err := f.readAnswer(br, p, h.name)
			if err != nil {
				f.count("cut: " + strings.SplitN(err.Error(), ":", 2)[0])
				return
			}
			if closes {
				return
			}
		}
		if last {
			return
		}
		time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
	}
}

func (f *fuzzer) readAnswer(br *bufio.Reader, p planned, host string) (closes bool, err error) {
	resp, err := http.ReadResponse(br, &http.Request{Method: p.method})
	if err != nil {
		if !strings.Contains(err.Error(), "EOF") && !strings.Contains(err.Error(), "reset") && !strings.Contains(err.Error(), "timeout") {
			f.find("MIXED: id %s: bytes that are no answer: %v", p.id, err)
		}
		if strings.Contains(err.Error(), "timeout") {
			f.find("UNANSWERED: id %s at %s", p.id, host)
		}
		return true, err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return true, fmt.Errorf("body: %w", err)
	}
	f.count(strconv.Itoa(resp.StatusCode))
	f.mu.Lock()
	f.sent[p.id].status = resp.StatusCode
	runs := f.counts["run "+p.id]
	f.mu.Unlock()
	if id := resp.Header.Get("X-Request-Id"); id != "" && id != p.id {
		f.find("MIXED: id %s got the answer of %s", p.id, id)
	}
	if p.unsafe && runs > 0 && (resp.StatusCode == 503 || resp.StatusCode == 429) {
		f.find("REFUSED: id %s has run and got %d", p.id, resp.StatusCode)
	}
	if resp.StatusCode == 200 {
		backend, _, _ := strings.Cut(string(body), " ")
		size, _ := strconv.Atoi(strings.SplitN(strings.SplitN(p.uri, "size=", 2)[1], "&", 2)[0])
		if string(body) != answerBody(backend, p.id, size) || !strings.HasPrefix(resp.Header.Get("X-Response-Signature"), "sig."+p.id) {
			f.find("MIXED: id %s got a success with another body: %d bytes", p.id, len(body))
		}
	}
	return resp.Close, nil
}

func fuzz(r *rig) (int, error) {
	f := &fuzzer{r: r, sent: make(map[string]*sentRequest), counts: make(map[string]int), stop: make(chan struct{})}
	if err := r.configure(7, []route{
		{Name: "r1", Host: "site.example", PathPrefix: "/cover/", Kind: "safe", TimeoutS: 1, TargetS: 0.5, Priority: 2, Service: "cover", Attempts: 2},
		{Name: "r2", Host: "site.example", PathPrefix: "/payout/", Kind: "unsafe", TimeoutS: 1.2, TargetS: 0.6, Priority: 1, Service: "payout", Attempts: 2},
		{Name: "r3", Host: "site.example", PathPrefix: "/records/", Kind: "safe", TimeoutS: 2.5, TargetS: 1.2, Priority: 2, Service: "records", Attempts: 2},
	}, []service{
		{Name: "cover", HealthPath: "/health", MaxConnections: 110, Protocol: "h1"}, {Name: "payout", HealthPath: "/health", MaxConnections: 110, Protocol: "h1"},
		{Name: "records", HealthPath: "/health", MaxConnections: 110, Protocol: "h1", Sharding: true, WarmS: 5},
	}); err != nil {
		return 0, err
	}
	var links []*link
	fault := 0
	for i, s := range []string{"cover", "cover", "cover", "payout", "payout", "payout", "records", "records", "records", "records"} {
		id := fmt.Sprintf("i-%d", i)
		b, err := newBackend(r.rec, id, s, "pos-a", s == "records")
		if err != nil {
			return 0, err
		}
		b.serve = f.serve(b, &fault)
		l, err := newLink(b.listener.Addr().String())
		if err != nil {
			return 0, err
		}
		b.address = l.listener.Addr().String()
		links = append(links, l)
		r.mu.Lock()
		r.backends[id] = b
		r.mu.Unlock()
		r.setState(id, "ready")
	}
	if err := r.startHosts("pos-a", "pos-b", "chag-a"); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	for range 16 {
		go f.client()
	}
	length, _ := strconv.Atoi(os.Getenv("FUZZ_S"))
	end := time.Now().Add(time.Duration(max(length, 60)) * time.Second)
	level := os.Getenv("FUZZ")
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+rand.IntN(1500)) * time.Millisecond)
		if level == "calm" {
			continue
		}
		fault = rand.IntN(2)
		l := links[rand.IntN(len(links))]
		h := r.hosts[rand.IntN(len(r.hosts))]
		what := rand.IntN(14)
		if strings.HasPrefix(level, "only") {
			what, _ = strconv.Atoi(level[4:])
		}
		r.rec.line("fault %d", what)
		switch what {
		case 0:
			l.delay.Store(int64(time.Duration(rand.IntN(400)) * time.Millisecond))
			time.AfterFunc(3*time.Second, func() { l.delay.Store(0) })
		case 1:
			l.stalled.Store(true)
			time.AfterFunc(time.Duration(rand.IntN(4000))*time.Millisecond, func() { l.stalled.Store(false) })
		case 2:
			l.resetAll()
		case 3:
			l.refuse.Store(true)
			l.resetAll()
			time.AfterFunc(2*time.Second, func() { l.refuse.Store(false) })
		case 4:
			l.cutAfter.Store(int64(500 + rand.IntN(400000)))
			time.AfterFunc(2*time.Second, func() { l.cutAfter.Store(0) })
		case 5, 6:
			r.signal(h, syscall.SIGTERM)
			<-h.done
			if err := r.start(h); err != nil {
				return 0, err
			}
			within(10*time.Second, h.isReady)
		case 7:
			r.signal(h, syscall.SIGKILL)
			<-h.done
			if err := r.start(h); err != nil {
				return 0, err
			}
		case 8:
			r.signal(h, syscall.SIGSTOP)
			time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			r.signal(h, syscall.SIGCONT)
		case 9, 10:
			r.store.SetFault(platformstore.Fault{Mode: []string{"busy", "reset", "silent"}[rand.IntN(3)]})
			time.Sleep(time.Duration(rand.IntN(5000)) * time.Millisecond)
			r.store.SetFault(platformstore.Fault{})
		case 11:
			r.store.SetFault(platformstore.Fault{Lost: 0.3, Late: 0.5, LateBy: 2 * time.Second})
			time.AfterFunc(4*time.Second, func() { r.store.SetFault(platformstore.Fault{}) })
		case 12:
			r.store.Rebalance()
		case 13:
			id := fmt.Sprintf("i-%d", 6+rand.IntN(4))
			r.setState(id, "draining")
			time.AfterFunc(4*time.Second, func() { r.setState(id, "ready") })
		}
	}
	close(f.stop)
	time.Sleep(4 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, n := range f.counts {
		if !strings.HasPrefix(k, "run ") {
			fmt.Println(k, n)
		}
	}
	if o := r.rec.longestOverlap(); o.length > maxOverlap {
		f.findings = append(f.findings, fmt.Sprintf("OWNER: %s %s %d-%d %v from %.3f", o.one.backend, o.other.backend, o.first, o.last, o.length, r.rec.at(o.one.from)))
	}
	for _, x := range f.findings {
		fmt.Println(x)
	}
	if len(f.findings) > 0 {
		return broken, nil
	}
	return held, nil
}
