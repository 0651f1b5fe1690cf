//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"pineturn/io/standin/platformstore"
)

type arrival struct {
	at      time.Time
	host    string
	id      string
	limited bool
	leaving bool
	rest    float64
}

func explore(p *play) (bool, error) {
	mode := os.Getenv("MODE")
	keyedMode := os.Getenv("KEYED") == "1"
	L := 3.0
	if s := os.Getenv("LIMIT"); s != "" {
		L, _ = strconv.ParseFloat(s, 64)
	}
	p.configure([]route{{name: "pay", service: "ledger", kind: "unsafe", timeout: 2, maxAttempts: 2}, {name: "look", service: "ledger", kind: "safe", timeout: 2, maxAttempts: 3}}, []service{{name: "ledger", keyed: keyedMode}})
	ran := &runs{}
	var mu sync.Mutex
	var arrivals []arrival
	var limited, leaving, resting bool
	var targets []*target
	for i := range 4 {
		t := &target{id: fmt.Sprintf("i-%d", i+1), service: "ledger", zone: zones[i%2], slots: 4, queue: 8, keyed: keyedMode, runs: ran,
			work: func() time.Duration { return time.Duration(rand.Float64() * 2 * float64(meanWork)) }}
		if i == 0 {
			t.before = func(r *http.Request) (string, int) {
				mu.Lock()
				defer mu.Unlock()
				a := arrival{at: time.Now(), host: r.Header.Get("X-Gate"), id: r.Header.Get("X-Request-Id"), limited: limited, leaving: leaving}
				h := ""
				st := 0
				if limited {
					h += fmt.Sprintf("Server-Limit: %v\r\n", L)
				}
				if leaving {
					h += "Server-Leaving: 1\r\n"
				}
				if resting {
					h += "Retry-After: 1.5\r\nX-Not-Executed: 1\r\n"
					st = 503
					a.rest = 1.5
				}
				arrivals = append(arrivals, a)
				return h, st
			}
		}
		if err := p.addTarget(t, i); err != nil {
			return false, err
		}
		targets = append(targets, t)
	}
	var callers []*caller
	for i := range 4 {
		h, err := p.addHost(zones[i%2], true)
		if err != nil {
			return false, err
		}
		callers = append(callers, newCaller(h))
	}
	if err := p.awaitServed(callers[0], "/pay/x"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	type passed struct {
		at   time.Time
		sent time.Time
		host string
		hdr  http.Header
	}
	var passes []passed
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(4 * time.Millisecond):
			}
			wg.Go(func() {
				c := callers[rand.IntN(4)]
				m, path := "POST", "/pay/x"
				if rand.IntN(2) == 0 {
					m, path = "GET", "/look/x"
				}
				a := c.send(p.ctx, m, path, rand.IntN(keysInUse)*4096, 2*time.Second, nil)
				if a.status != 0 && (a.header.Get("Server-Limit") != "" || a.header.Get("Server-Leaving") != "") {
					mu.Lock()
					passes = append(passes, passed{a.ended, a.sent, c.host.name, a.header})
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(3 * time.Second)
	set := func(v *bool, x bool) { mu.Lock(); *v = x; mu.Unlock() }
	t0 := time.Now()
	killAt := map[string]time.Time{}
	switch mode {
	case "limit":
		set(&limited, true)
		time.Sleep(10 * time.Second)
		for _, h := range p.hosts {
			if h.leads() {
				p.note("killing leader %s", h.name)
				killAt[h.name] = time.Now()
				h.kill()
				time.Sleep(500 * time.Millisecond)
				h.start()
				break
			}
		}
		time.Sleep(8 * time.Second)
		p.note("store busy")
		p.store.SetFault(platformstore.Fault{Mode: "busy"})
		time.Sleep(8 * time.Second)
		p.store.SetFault(platformstore.Fault{})
		p.note("store ok")
		time.Sleep(8 * time.Second)
		for i, h := range p.hosts[:2] {
			_ = i
			p.note("stopping %s", h.name)
			killAt[h.name] = time.Now()
			h.cmd.Process.Signal(syscall.SIGTERM)
		}
		time.Sleep(8 * time.Second)
	case "leaving":
		set(&leaving, true)
		time.Sleep(12 * time.Second)
	case "rest":
		for range 6 {
			set(&resting, true)
			time.Sleep(4 * time.Second)
			set(&resting, false)
			time.Sleep(time.Second)
		}
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	first := map[string]time.Time{}
	firstLeaving := map[string]time.Time{}
	for _, x := range passes {
		m := first
		if x.hdr.Get("Server-Leaving") != "" {
			m = firstLeaving
		}
		if m[x.host].IsZero() || x.at.Before(m[x.host]) {
			m[x.host] = x.at
		}
	}
	p.note("first passes %v leaving %v", first, firstLeaving)
	switch mode {
	case "limit":
		worst := 0
		for i, a := range arrivals {
			if a.at.Before(t0.Add(3 * time.Second)) {
				continue
			}
			n := 0
			for _, b := range arrivals[i:] {
				if b.at.Sub(a.at) > 4*time.Second {
					break
				}
				if f := first[b.host]; !f.IsZero() && b.at.After(f.Add(500*time.Millisecond)) {
					n++
				}
			}
			if n > worst {
				worst = n
				p.note("window at %.2f: %d", a.at.Sub(t0).Seconds(), n)
			}
		}
		p.note("bound %v worst %d arrivals %d", 6*L+5, worst, len(arrivals))
		per := map[int]int{}
		for _, a := range arrivals {
			per[int(a.at.Sub(t0).Seconds())]++
		}
		for s := -3; s < 45; s++ {
			p.note("s %d: %d", s, per[s])
		}
	case "leaving":
		late := 0
		for _, a := range arrivals {
			if f := firstLeaving[a.host]; !f.IsZero() && a.at.After(f.Add(2*time.Second)) {
				late++
				p.note("late arrival %.2f after from %s", a.at.Sub(f).Seconds(), a.host)
			}
		}
		p.note("late %d of %d", late, len(arrivals))
	case "rest":
		bad := 0
		last := map[string]time.Time{}
		cnt := map[string]int{}
		for _, a := range arrivals {
			if l := last[a.host]; !l.IsZero() && a.at.Sub(l) > 500*time.Millisecond && a.at.Sub(l) < 1500*time.Millisecond {
				cnt[a.host+l.Format(clockForm)]++
				bad++
			}
			if a.rest > 0 {
				if l := last[a.host]; l.IsZero() || a.at.Sub(l) > 1500*time.Millisecond {
					last[a.host] = a.at
				}
			}
		}
		p.note("bad %d of %d: %v", bad, len(arrivals), cnt)
	}
	return false, nil
}
