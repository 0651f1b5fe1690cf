//go:build review2

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case. copyShare is the share of their answers that faulty targets write once
// more, at most 0.03 for 5 s by the site file (garble, "extra late"); copying is the number of
// such targets of targetCount, at most 0.6. One target at a time refuses a share of its requests
// (srv_grey, "shed"), at most 0.45 for 6.5 s at 0.14 of the targets. Both come at the same time.
const (
	targetCount = 8
	copying     = 4
	copyShare   = 0.03
	shedShare   = 0.45
	copyTime    = 5 * time.Second
	shedTime    = 6500 * time.Millisecond
	shedPause   = 3 * time.Second
	windows     = 6
	sendPause   = 2 * time.Millisecond
	callerLimit = 2500 * time.Millisecond
	meanWork    = 10 * time.Millisecond
	keysInUse   = 16
)

// playRefusalCopies sends requests that may run once only for the keys of some targets. One
// target after the other refuses a part of its requests, and some targets write answers once
// more, late, where the next answer on the connection is expected.
func playRefusalCopies(p *play) (bool, error) {
	p.configure([]route{
		{name: "pay", service: "ledger", kind: "unsafe", timeout: 2, maxAttempts: 2},
		{name: "pay-again", service: "ledger", kind: "unsafe", timeout: 2, maxAttempts: 3},
	}, []service{{name: "ledger", keyed: true}})
	paths := []string{"/pay/x", "/pay-again/x"}
	ran := &runs{}
	var shedding atomic.Int64
	shedding.Store(-1)
	var copies atomic.Bool
	var targets []*target
	for i := range targetCount {
		t := &target{
			id: fmt.Sprintf("i-%d", i+1), service: "ledger", zone: zones[i%len(zones)], slots: 4, queue: 8, keyed: true, runs: ran,
			work:  func() time.Duration { return time.Duration(rand.Float64() * 2 * float64(meanWork)) },
			sheds: func() bool { return shedding.Load() == int64(i) && rand.Float64() < shedShare },
		}
		if p.trouble && i < copying {
			t.copies = func() bool { return copies.Load() && rand.Float64() < copyShare }
		}
		if err := p.addTarget(t, i); err != nil {
			return false, err
		}
		targets = append(targets, t)
	}
	var callers []*caller
	for _, zone := range zones {
		h, err := p.addHost(zone)
		if err != nil {
			return false, err
		}
		callers = append(callers, newCaller(h))
	}
	if err := p.awaitServed(callers[0], "/pay/x"); err != nil {
		return false, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range windows {
			if p.trouble {
				p.note("target %s refuses %v of its requests, answers are written once more", targets[i%copying].id, shedShare)
				shedding.Store(int64(i % copying))
				copies.Store(true)
			}
			time.Sleep(copyTime)
			copies.Store(false)
			time.Sleep(shedTime - copyTime)
			shedding.Store(-1)
			time.Sleep(shedPause)
		}
	}()
	var mu sync.Mutex
	var answers []answer
	var sent sync.WaitGroup
	for i, playing := 0, true; playing; i++ {
		sent.Go(func() {
			a := callers[i%len(callers)].send(p.ctx, http.MethodPost, paths[rand.IntN(len(paths))], rand.IntN(keysInUse)*4096, callerLimit, []byte("payout"))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		select {
		case <-done:
			playing = false
		case <-time.After(sendPause):
		}
	}
	sent.Wait()
	time.Sleep(2 * time.Second)
	for _, t := range targets {
		p.note("target %s: refused %d, wrote %d answers once more", t.id, t.refused, t.copied)
	}
	return p.judgePromises(answers, ran), nil
}

// awaitServed waits until a request is served, so that the keys have owners.
func (p *play) awaitServed(c *caller, path string) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		served := 0
		for i := range keysInUse {
			a := c.send(context.Background(), http.MethodPost, path, i*4096, callerLimit, []byte("first"))
			if a.status == http.StatusOK {
				served++
			}
		}
		if served == keysInUse {
			return nil
		}
	}
	return fmt.Errorf("no request to %s is served", path)
}

// judgePromises looks for requests that were told not to have run and ran, and for requests
// that ran twice. It records all requests.
func (p *play) judgePromises(answers []answer, ran *runs) bool {
	statuses := make(map[int]int)
	refused, twice := 0, 0
	byID := ran.byID()
	for _, a := range answers {
		statuses[a.status]++
		n := len(byID[a.id])
		verdict := ""
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if n > 0 {
				refused++
				verdict = " REFUSED: it was told not to have run, and has run"
			}
		}
		if n > 1 {
			twice++
			verdict += " TWICE"
		}
		p.note("%v; runs %v%s", a, byID[a.id], verdict)
	}
	p.note("requests %d, by status %v, told not run but run %d, run twice %d", len(answers), statuses, refused, twice)
	return refused+twice > 0
}
