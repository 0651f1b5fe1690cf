package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// newRoutes is the number of routes of the configuration (big_config: 350 more).
	newRoutes = 350
	// longAnswer is the length of an answer, in bytes, and brokenAt that of one that is broken off.
	longAnswer = 320 << 10
	brokenAt   = 300 << 10
	// brokenEvery is the number of answers of faulty backends of which one is broken off, in windows with pauses:
	// a share of less than 0.03.
	brokenEvery = 34
	faultWindow = 5 * time.Second
	faultPause  = 3 * time.Second
	// faultyLong is the number of the backend from which on those with long answers are sound: 6 of 10 are faulty.
	faultyLong = 12
	// behind is the number of requests sent behind one for a long answer.
	behind      = 3
	answerWork  = 150 * time.Millisecond
	shortWork   = 100 * time.Millisecond
	pipelineGap = 30 * time.Millisecond
	// maxLost is the number of requests that a machine may lose (LOST).
	maxLost = 3
)

// firstAnswers has callers send requests ahead on routes that a host has not served yet, while backends break off
// a part of their answers.
func firstAnswers(r *rig) (int, error) {
	routes := []route{{Name: "r-short", Host: "site.example", PathPrefix: "/short/", Kind: "safe", TimeoutS: 4, TargetS: 2, Priority: 2, Service: "short", Attempts: 2}}
	for i := range newRoutes {
		routes = append(routes, route{
			Name: fmt.Sprintf("r-%d", i), Host: "site.example", PathPrefix: fmt.Sprintf("/long%d/", i), Kind: "safe", TimeoutS: 4, TargetS: 2, Priority: 2, Service: "long", Attempts: 2,
		})
	}
	if err := r.configure(routes, []service{
		{Name: "short", HealthPath: "/health", MaxConnections: 560, Protocol: "h1"}, {Name: "long", HealthPath: "/health", MaxConnections: 560, Protocol: "h1"},
	}); err != nil {
		return 0, err
	}
	f := &breaker{r: r}
	for i := range 20 {
		id, name := fmt.Sprintf("s-%d", i), "short"
		if i%2 == 1 {
			id, name = fmt.Sprintf("l-%d", i), "long"
		}
		if err := r.add(id, name, false); err != nil {
			return 0, err
		}
		if name == "long" {
			faulty := i < faultyLong
			r.backends[id].serve = func(c *conn, req *http.Request) bool { return f.serveLong(r.backends[id], faulty, c, req) }
		}
	}
	if err := r.startHosts("pos-a", "pos-b", "chag-a"); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		go f.windows()
	}
	var sent sync.WaitGroup
	lost := make([]atomic.Int64, len(r.hosts))
	for i := range newRoutes {
		for n, h := range r.hosts {
			sent.Go(func() { lost[n].Add(int64(f.pipeline(h, i))) })
			time.Sleep(pipelineGap)
		}
	}
	sent.Wait()
	r.rec.line("%d long answers, %d of them broken off", f.answers.Load(), f.broken.Load())
	result := held
	for n, h := range r.hosts {
		r.rec.line("host %s: %d requests passed on to sound backends, and the connection closed without their answers", h.name, lost[n].Load())
		if lost[n].Load() > maxLost {
			result = broken
		}
	}
	r.rec.line("LOST broken: %t (more than %d at a host)", result == broken, maxLost)
	return result, nil
}

// breaker is what the faulty backends have in common.
type breaker struct {
	r               *rig
	on              atomic.Bool
	answers, broken atomic.Int64
	// inWindows is the number of answers of faulty backends while the fault was on.
	inWindows atomic.Int64
}

// windows switches the fault on and off.
func (f *breaker) windows() {
	for {
		f.on.Store(true)
		time.Sleep(faultWindow)
		f.on.Store(false)
		time.Sleep(faultPause)
	}
}

// serveLong gives a long answer, and breaks it off if it is one of the faulty ones.
func (f *breaker) serveLong(b *backend, faulty bool, c *conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	b.rec.run(b.id, id, r.Method, r.URL.RequestURI(), -1, nil)
	time.Sleep(answerWork)
	data := format(http.StatusOK, map[string]string{"X-Request-Id": id, "X-Response-Signature": "sig." + id}, strings.Repeat("0123456789abcde\n", longAnswer/16))
	f.answers.Add(1)
	if faulty && f.on.Load() && f.inWindows.Add(1)%brokenEvery == 0 {
		f.broken.Add(1)
		b.rec.line("backend %s breaks off its answer to %s", b.id, id)
		_, _ = c.Write(data[:brokenAt])
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
		return true
	}
	_, _ = c.Write(data)
	return true
}

// pipeline sends a request for a long answer and some behind it in one write, and returns the number of those
// behind that sound backends have run and that got no answer.
func (f *breaker) pipeline(h *host, route int) (lost int) {
	c, err := net.Dial("tcp", h.front)
	if err != nil {
		f.r.rec.line("no connection to %s: %v", h.name, err)
		return 0
	}
	defer c.Close()
	var text strings.Builder
	ids := make([]string, 1+behind)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", rand.Uint64())
		path := fmt.Sprintf("/long%d/x", route)
		if i > 0 {
			path = fmt.Sprintf("/short/x?ms=%d", shortWork.Milliseconds())
		}
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", path, ids[i])
	}
	if _, err := c.Write([]byte(text.String())); err != nil {
		return 0
	}
	_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
	br := bufio.NewReader(c)
	for i, id := range ids {
		status, err := readAnswer(br)
		if err == nil {
			if status != http.StatusOK {
				f.r.rec.line("client got %d to %s", status, id)
			}
			continue
		}
		f.r.rec.line("connection to %s ends in the answer to %s: %v", h.name, id, err)
		time.Sleep(2 * answerWork)
		for _, other := range ids[max(i, 1):] {
			if f.r.rec.hasRun(other) {
				f.r.rec.line("%s has run and got no answer", other)
				lost++
			}
		}
		return lost
	}
	return 0
}

func readAnswer(br *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
