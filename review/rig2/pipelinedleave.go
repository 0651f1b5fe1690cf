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
	"time"
)

// Figures of the case. One caller of five leaves in each round (give_up: share 0.2), within half of
// the objective of its requests. What it has sent is within the limits of the configuration:
// max_header_bytes is 16384.
const (
	leaveTargets  = 15
	leaveSlots    = 4
	leaveCallers  = 5
	leaveRounds   = 9
	pipelined     = 12
	tokenBytes    = 1500
	leaveWork     = 3 * time.Second
	leaveDeadline = 8 * time.Second
	leaveWithin   = 300 * time.Millisecond
	noticeTime    = 500 * time.Millisecond
)

// pipeline is a caller's requests in one round, sent without waiting for the responses.
type pipeline struct {
	ids  []string
	sent time.Time
	// left is when the caller has closed the connection; zero if it has read the responses.
	left     time.Time
	statuses []int
}

// run sends the requests, and leaves or reads the responses.
func (q *pipeline) run(h *host, leaves bool) {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(leaveDeadline + time.Second))
	var text strings.Builder
	for range pipelined {
		id := newID()
		q.ids = append(q.ids, id)
		fmt.Fprintf(&text, "GET /report/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nCookie: token=%s\r\n\r\n",
			callerHost, id, leaveDeadline.Milliseconds(), strings.Repeat("t", tokenBytes))
	}
	q.sent = time.Now()
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return
	}
	if leaves {
		time.Sleep(leaveWithin)
		_ = conn.Close()
		q.left = time.Now()
		return
	}
	reader := bufio.NewReader(conn)
	for range q.ids {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		q.statuses = append(q.statuses, resp.StatusCode)
	}
}

// playPipelinedLeave lets callers that send requests without waiting for the responses leave.
func playPipelinedLeave(p *play) (bool, error) {
	p.configure([]route{{name: "report", service: "archive", kind: "safe", timeout: 8, maxAttempts: 2}}, []service{{name: "archive"}})
	ran := &runs{}
	for i := range leaveTargets {
		t := &target{
			id: fmt.Sprintf("i-%d", i+1), service: "archive", zone: "pos-a", slots: leaveSlots, queue: 8, runs: ran,
			work: func() time.Duration { return leaveWork },
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
	var pipelines []*pipeline
	for range leaveRounds {
		leaver := rand.IntN(leaveCallers)
		var round sync.WaitGroup
		for i := range leaveCallers {
			q := &pipeline{}
			pipelines = append(pipelines, q)
			round.Go(func() { q.run(h, p.trouble && i == leaver) })
		}
		round.Wait()
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(leaveWork)
	return p.judgeLeavers(pipelines, ran), nil
}

// judgeLeavers looks at which requests of callers that have left targets were still at work.
func (p *play) judgeLeavers(pipelines []*pipeline, ran *runs) bool {
	byID := ran.byID()
	counted, atWork, reached := 0, 0, 0
	for _, q := range pipelines {
		if q.left.IsZero() {
			p.note("caller sent %d requests at %s and got %v", len(q.ids), q.sent.Format(clockForm), q.statuses)
			continue
		}
		p.note("caller sent %d requests at %s and left at %s", len(q.ids), q.sent.Format(clockForm), q.left.Format(clockForm))
		noticed := q.left.Add(noticeTime)
		for _, id := range q.ids {
			lasts, busy := false, false
			for _, r := range byID[id] {
				if r.at.After(noticed) {
					reached++
				}
				if r.at.Add(leaveWork).Before(noticed) {
					continue
				}
				lasts = lasts || r.at.Before(q.left)
				busy = busy || r.at.Before(noticed) && (r.brokenOff.IsZero() || r.brokenOff.After(noticed))
			}
			if lasts {
				counted++
			}
			if lasts && busy {
				atWork++
			}
			p.note("  request %s: runs %v, at work half a second later: %v", id, byID[id], busy)
		}
	}
	p.note("requests at work as their callers left %d, of these still at work half a second later %d; reached a target over half a second later %d",
		counted, atWork, reached)
	return 4*atWork > counted
}
