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

// Figures of the case: the class arrears-history of ckrg-gateway.toml.
const (
	aheadTargets  = 8
	aheadSlots    = 4
	aheadCallers  = 6
	aheadRounds   = 10
	aheadRequests = 10
	aheadWork     = 400 * time.Millisecond
	aheadTimeout  = 2500 * time.Millisecond
	aheadDeadline = 5 * time.Second
	answerSlack   = 500 * time.Millisecond
)

// sequence is a caller's requests on one connection.
type sequence struct {
	// keepAlive is set if the requests say "Connection: keep-alive".
	keepAlive bool
	ids       []string
	sent      []time.Time
	answered  []time.Time
	statuses  []int
}

// run sends the requests, each after the response to the one before or, if ahead is set, all at once.
func (q *sequence) run(h *host, ahead bool) {
	header := ""
	if q.keepAlive {
		header = "Connection: keep-alive\r\n"
	}
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func(n int) error {
		var text strings.Builder
		for range n {
			id := newID()
			q.ids, q.sent = append(q.ids, id), append(q.sent, time.Now())
			fmt.Fprintf(&text, "GET /history/x HTTP/1.1\r\nHost: %s\r\n%sX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n",
				callerHost, header, id, aheadDeadline.Milliseconds())
		}
		_, err := io.WriteString(conn, text.String())
		return err
	}
	if ahead && send(aheadRequests) != nil {
		return
	}
	for i := range aheadRequests {
		if !ahead && send(1) != nil {
			return
		}
		_ = conn.SetReadDeadline(q.sent[i].Add(aheadDeadline))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		q.statuses, q.answered = append(q.statuses, resp.StatusCode), append(q.answered, time.Now())
	}
}

// playKeepAlive lets callers send idempotent requests without waiting for the responses. Those of half of
// the callers say "Connection: keep-alive".
func playKeepAlive(p *play) (bool, error) {
	p.configure([]route{{name: "history", service: "vault", kind: "safe", timeout: aheadTimeout.Seconds(), maxAttempts: 2}}, []service{{name: "vault"}})
	ran := &runs{}
	for i := range aheadTargets {
		t := &target{
			id: fmt.Sprintf("i-%d", i+1), service: "vault", zone: "pos-a", slots: aheadSlots, queue: 8, runs: ran,
			work: func() time.Duration { return time.Duration((0.75 + rand.Float64()/2) * float64(aheadWork)) },
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
	var sequences []*sequence
	for range aheadRounds {
		var round sync.WaitGroup
		for i := range aheadCallers {
			q := &sequence{keepAlive: i%2 == 0}
			sequences = append(sequences, q)
			round.Go(func() { q.run(h, p.trouble) })
		}
		round.Wait()
	}
	return p.judgeTimeouts(sequences, ran), nil
}

// judgeTimeouts looks for requests that have no answer half a second after the timeout of their route.
func (p *play) judgeTimeouts(sequences []*sequence, ran *runs) bool {
	byID := ran.byID()
	all, lasting, late, never := 0, 0, 0, 0
	longest := make(map[bool]time.Duration)
	for _, q := range sequences {
		p.note("caller with keep-alive %v:", q.keepAlive)
		for i, id := range q.ids {
			all++
			if i >= len(q.answered) {
				lasting++
				late++
				never++
				p.note("request %s sent at %s, no answer before its deadline; runs %v", id, q.sent[i].Format(clockForm), byID[id])
				continue
			}
			took := q.answered[i].Sub(q.sent[i])
			longest[q.keepAlive] = max(longest[q.keepAlive], took)
			if took > aheadTimeout {
				lasting++
			}
			if took > aheadTimeout+answerSlack {
				late++
			}
			p.note("request %s sent at %s, answered %d after %v; runs %v", id, q.sent[i].Format(clockForm), q.statuses[i], took, byID[id])
		}
	}
	p.note("requests %d; without an answer at the timeout of their route %d, of these half a second later %d, of these until their deadline %d", all, lasting, late, never)
	p.note("longest time to an answer with keep-alive %v, without %v", longest[true], longest[false])
	return late >= 8 && 2*late > lasting
}
