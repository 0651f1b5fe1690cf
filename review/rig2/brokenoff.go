//go:build review2

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

// Figures of the case. Of ten targets of a service, five are faulty and break off 0.02 of their answers for 5 s
// at a time (garble: share 0.5, x 0.02, for_s 5).
const (
	breakTargets  = 10
	breakFaulty   = 5
	breakSlots    = 4
	breakShare    = 0.02
	breakCallers  = 16
	breakTime     = 70 * time.Second
	breakWindow   = 5 * time.Second
	breakPause    = 3 * time.Second
	breakDeadline = 5 * time.Second
	exportBytes   = 320 << 10
	breakWork     = 150 * time.Millisecond
	// lostLimit is the number of requests on kept connections that the rule allows to be lost.
	lostLimit = 3
)

// export is a caller's pipeline: a request for a long answer, and short ones behind it.
type export struct {
	ids      []string
	sent     time.Time
	ended    time.Time
	statuses []int
	err      error
}

// run sends requests on a connection without waiting for the responses, and reads these.
func (e *export) run(conn net.Conn, reader *bufio.Reader) {
	var text strings.Builder
	for _, path := range []string{"/export/x", "/status/x", "/status/x", "/status/x"} {
		id := newID()
		e.ids = append(e.ids, id)
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, callerHost, id, breakDeadline.Milliseconds())
	}
	e.sent = time.Now()
	defer func() { e.ended = time.Now() }()
	_ = conn.SetDeadline(e.sent.Add(breakDeadline))
	if _, e.err = io.WriteString(conn, text.String()); e.err != nil {
		return
	}
	for range e.ids {
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			e.err = err
			return
		}
		e.statuses = append(e.statuses, resp.StatusCode)
	}
}

// playBrokenOff lets callers send short requests behind one for a long answer, which a faulty target breaks
// off at times.
func playBrokenOff(p *play) (bool, error) {
	p.configure([]route{
		{name: "export", service: "archive", kind: "safe", timeout: 4, maxAttempts: 2}, {name: "status", service: "desk", kind: "safe", timeout: 4, maxAttempts: 2},
	}, []service{{name: "archive"}, {name: "desk"}})
	ran := &runs{}
	var breaking atomic.Bool
	long := []byte(strings.Repeat("x", exportBytes))
	for i := range 2 * breakTargets {
		t := &target{
			id: fmt.Sprintf("i-%d", i+1), service: "archive", zone: "pos-a", slots: breakSlots, queue: 8, runs: ran,
			work: func() time.Duration { return breakWork }, body: long,
		}
		if i >= breakTargets {
			t.service, t.body = "desk", nil
		} else if p.trouble && i < breakFaulty {
			t.breaks = func() bool { return breaking.Load() && rand.Float64() < breakShare }
		}
		if err := p.addTarget(t, i); err != nil {
			return false, err
		}
	}
	h, err := p.addHost("pos-a")
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var exports []*export
	var callers sync.WaitGroup
	end := time.Now().Add(breakTime)
	go func() {
		for time.Now().Before(end) {
			breaking.Store(true)
			time.Sleep(breakWindow)
			breaking.Store(false)
			time.Sleep(breakPause)
		}
	}()
	for range breakCallers {
		callers.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for time.Now().Before(end) {
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp", h.front, time.Second); err != nil {
						return
					}
					reader = bufio.NewReader(conn)
				}
				e := &export{}
				e.run(conn, reader)
				mu.Lock()
				exports = append(exports, e)
				mu.Unlock()
				if e.err != nil {
					_ = conn.Close()
					conn = nil
				}
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return p.judgeLost(exports, ran), nil
}

// judgeLost looks for requests that were passed on to the sound targets of desk, and whose connection was
// closed without an answer.
func (p *play) judgeLost(exports []*export, ran *runs) bool {
	byID := ran.byID()
	closed, lost := 0, 0
	for _, e := range exports {
		if e.err == nil {
			p.note("caller sent %v at %s, got %v by %s; runs:", e.ids, e.sent.Format(clockForm), e.statuses, e.ended.Format(clockForm))
			for _, id := range e.ids {
				p.note("  request %s: runs %v", id, byID[id])
			}
			continue
		}
		closed++
		p.note("caller sent %v at %s, got %v, and the connection ended at %s: %v", e.ids, e.sent.Format(clockForm), e.statuses, e.ended.Format(clockForm), e.err)
		if e.ended.Sub(e.sent) >= breakDeadline {
			continue
		}
		for i := max(len(e.statuses), 1); i < len(e.ids); i++ {
			if runs := byID[e.ids[i]]; len(runs) > 0 {
				lost++
				p.note("  LOST: request %s was passed on and has no answer: runs %v", e.ids[i], runs)
			}
		}
	}
	p.note("pipelines %d, ended early %d; requests passed on to sound targets whose connection was closed without an answer %d, allowed %d", len(exports), closed, lost, lostLimit)
	return lost > lostLimit
}
