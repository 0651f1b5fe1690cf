//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"pineturn/io/standin/platformstore"
)

type fenceLog struct {
	mu    sync.Mutex
	top   [1 << 16]int64
	owner [1 << 16]string
	bad   int
}

func (f *fenceLog) accept(p *play, t *target, from, to int, fence int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := from; k <= to; k++ {
		if f.owner[k] != t.id && f.owner[k] != "" && fence <= f.top[k] {
			f.bad++
			p.note("FENCE key %d: %s accepted %d, %s had %d", k, t.id, fence, f.owner[k], f.top[k])
			break
		}
	}
	for k := from; k <= to; k++ {
		if fence >= f.top[k] {
			f.top[k], f.owner[k] = fence, t.id
		}
	}
}

func chaos(p *play) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	r := rand.New(rand.NewPCG(seed, 1))
	if strings.Contains(os.Getenv("KINDS"), "drill") {
		p.store.SetEra(1)
	}
	p.configure([]route{{name: "pay", service: "ledger", kind: "unsafe", timeout: 2, maxAttempts: 2}}, []service{{name: "ledger", keyed: true}})
	ran := &runs{}
	f := &fenceLog{}
	var late bool
	var lmu sync.Mutex
	var targets []*target
	add := func(i int) error {
		t := &target{id: fmt.Sprintf("i-%d", i+1), service: "ledger", zone: zones[i%2], slots: 4, queue: 8, keyed: true, runs: ran, fenceLog: f,
			work: func() time.Duration { return time.Duration(rand.Float64() * 2 * float64(meanWork)) }}
		t.late = func() bool { lmu.Lock(); defer lmu.Unlock(); return late && rand.Float64() < 0.5 }
		if err := p.addTarget(t, i); err != nil {
			return err
		}
		lmu.Lock()
		targets = append(targets, t)
		lmu.Unlock()
		return nil
	}
	for i := range 5 {
		if err := add(i); err != nil {
			return false, err
		}
	}
	var callers []*caller
	for i := range 4 {
		h, err := p.addHost(zones[i%2], true)
		if err != nil {
			return false, err
		}
		callers = append(callers, newCaller(h))
	}
	for _, h := range p.hosts {
		data, _ := os.ReadFile(h.settings)
		_ = os.WriteFile(h.settings, []byte(strings.Replace(string(data), "bootstrap = true", "bootstrap = false", 1)), 0o600)
	}
	if err := p.awaitServed(callers[0], "/pay/x"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	overlaps := 0
	go func() {
		since := map[int]time.Time{}
		for {
			time.Sleep(40 * time.Millisecond)
			select {
			case <-stop:
				return
			default:
			}
			now := time.Now()
			lmu.Lock()
			all := append([]*target{}, targets...)
			lmu.Unlock()
			for k := 0; k < 1<<16; k += 128 {
				var who []string
				for _, t := range all {
					t.mu.Lock()
					if now.Before(t.until[k]) && !t.dead {
						who = append(who, fmt.Sprintf("%s(f%d,late%v)", t.id, t.fences[k], t.lateKeys[k]))
					}
					t.mu.Unlock()
				}
				if len(who) < 2 {
					delete(since, k)
					continue
				}
				if since[k].IsZero() {
					since[k] = now
				}
				if now.Sub(since[k]) > 500*time.Millisecond {
					overlaps++
					p.note("OVERLAP key %d for %v: %v", k, now.Sub(since[k]), who)
					since[k] = now.Add(5 * time.Second)
				}
			}
		}
	}()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Millisecond):
			}
			go callers[rand.IntN(4)].send(p.ctx, "POST", "/pay/x", rand.IntN(65536), 2*time.Second, []byte("x"))
		}
	}()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				p.store.Copy()
			}
		}
	}()
	next := 5
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); {
		k := kinds[r.IntN(len(kinds))]
		p.note("event %s", k)
		switch k {
		case "drill":
			p.store.Return(platformstore.Return{Age: time.Duration(1+r.IntN(5)) * time.Second, Away: time.Duration(r.IntN(3000)) * time.Millisecond, WriteAgainAfter: time.Duration(r.IntN(2000)) * time.Millisecond})
			p.note("store is back")
		case "kill", "killall":
			for i, h := range p.hosts {
				if k == "killall" || h.leads() && i >= 0 {
					p.note("kill %s", h.name)
					h.kill()
					if err := h.start(); err != nil {
						return false, err
					}
				}
			}
		case "late":
			lmu.Lock()
			late = true
			lmu.Unlock()
			time.AfterFunc(time.Duration(3+r.IntN(4))*time.Second, func() { lmu.Lock(); late = false; lmu.Unlock() })
		case "drain":
			lmu.Lock()
			t := targets[r.IntN(len(targets))]
			lmu.Unlock()
			t.mu.Lock()
			st := t.state
			if st == "ready" {
				t.state = "draining"
			}
			t.mu.Unlock()
			if st == "ready" {
				t.register()
				time.AfterFunc(6*time.Second, func() {
					t.mu.Lock()
					t.state = ""
					t.dead = true
					t.mu.Unlock()
					t.listener.Close()
					t.closeConns()
					p.store.PutTarget(t.id, nil)
				})
				if err := add(next); err != nil {
					return false, err
				}
				next++
			}
		case "fault":
			m := []string{"busy", "reset", "silent", "many"}[r.IntN(4)]
			ft := platformstore.Fault{Mode: m}
			if r.IntN(2) == 0 {
				ft = platformstore.Fault{Lost: 0.3, Late: 0.5, LateBy: time.Duration(1+r.IntN(5)) * time.Second}
			}
			p.store.SetFault(ft)
			time.AfterFunc(time.Duration(1+r.IntN(5))*time.Second, func() { p.store.SetFault(platformstore.Fault{}) })
		case "regroup":
			p.store.Rebalance()
		}
		time.Sleep(time.Duration(300+r.IntN(4500)) * time.Millisecond)
	}
	close(stop)
	time.Sleep(200 * time.Millisecond)
	p.note("runs %d fence violations %d overlaps %d", len(ran.all), f.bad, overlaps)
	twice := 0
	for id, rs := range ran.byID() {
		if len(rs) > 1 {
			twice++
			p.note("TWICE %s %v", id, rs)
		}
	}
	return f.bad+overlaps+twice > 0, nil
}
