//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case. The work is that of the class cup-entry in
// demands/slipstream-gw-grown.toml; grace and bounds are those of the settings.
const (
	lateTargets  = 20
	lateSlots    = 4
	uploaders    = 500
	minUpload    = 1500 * time.Millisecond
	maxUpload    = 3800 * time.Millisecond
	uploadPieces = 12
	uploadBytes  = 24000
	uploadWait   = 6 * time.Second
	lateTimeout  = 5.0
	grace        = 6 * time.Second
	excusedUntil = 3 * time.Second
	// stopGap is the time between the SIGTERMs of two hosts: roll_term, gap_s.
	stopGap  = 2200 * time.Millisecond
	planTime = 88 * time.Second
	// hostsToStop is so high that fewer than half of the hosts stop at a time.
	hostsToStop = 6
)

// cupEntryWork draws the work of a request: 250 ms in the mean, and for 3 in 100 seven times as much,
// 2.6 s at most.
func cupEntryWork() time.Duration {
	const sigma = 0.7
	ms := 250 * math.Exp(sigma*rand.NormFloat64()-sigma*sigma/2)
	if rand.Float64() < 0.03 {
		ms *= 7
	}
	return time.Duration(min(ms, 2600) * float64(time.Millisecond))
}

// balancer is the platform's load balancer for one failure domain.
type balancer struct {
	play *play

	mu     sync.Mutex
	misses map[*host]int
}

// run asks each host once a second whether it is ready.
func (b *balancer) run() {
	for b.play.ctx.Err() == nil {
		for _, h := range b.play.hosts {
			go func() {
				ready := h.isReady()
				b.mu.Lock()
				defer b.mu.Unlock()
				b.misses[h]++
				if ready {
					b.misses[h] = 0
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// pick returns the host for a new connection: one in rotation, or any if fewer than half are.
func (b *balancer) pick() *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*host
	for _, h := range b.play.hosts {
		if b.misses[h] < 2 {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(b.play.hosts) {
		in = b.play.hosts
	}
	return in[rand.IntN(len(in))]
}

// upload is a request with a body that arrives slowly.
type upload struct {
	answer
	begun, whole time.Time
	begunAt      *host
}

func (u upload) String() string {
	return fmt.Sprintf("request %s to %s, head at %s, last byte at %s, answered %d at %s", u.id, u.host, u.begun.Format(clockForm), u.whole.Format(clockForm), u.status, u.ended.Format(clockForm))
}

// send sends the body in pieces over a time, and reads the answer.
func (u *upload) send(over time.Duration) {
	u.id, u.host, u.begun = newID(), u.begunAt.name, time.Now()
	defer func() { u.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", u.begunAt.front, time.Second)
	if err != nil {
		u.err = err
		return
	}
	defer conn.Close()
	u.begun = time.Now()
	_ = conn.SetDeadline(u.begun.Add(uploadWait))
	fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		callerHost, u.id, uploadWait.Milliseconds(), uploadBytes)
	piece := make([]byte, uploadBytes/uploadPieces)
	for range uploadPieces {
		time.Sleep(over / uploadPieces)
		if _, u.err = conn.Write(piece); u.err != nil {
			return
		}
	}
	u.whole = time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		u.err = err
		return
	}
	u.status, u.signed = resp.StatusCode, resp.Header.Get("X-Response-Signature") != ""
	_ = resp.Body.Close()
}

// playLateBodies stops hosts in turn, in calm, while callers send bodies that take some seconds.
func playLateBodies(p *play) (bool, error) {
	p.configure([]route{{name: "pay", service: "cupdesk", kind: "unsafe", timeout: lateTimeout, maxAttempts: 2}}, []service{{name: "cupdesk"}})
	ran := &runs{}
	for i := range lateTargets {
		t := &target{id: fmt.Sprintf("i-%d", i+1), service: "cupdesk", zone: "pos-a", slots: lateSlots, queue: 8, runs: ran, work: cupEntryWork}
		if err := p.addTarget(t, i); err != nil {
			return false, err
		}
	}
	for range hostsToStop {
		if _, err := p.addHost("pos-a"); err != nil {
			return false, err
		}
	}
	b := &balancer{play: p, misses: make(map[*host]int)}
	go b.run()
	done := make(chan struct{})
	var mu sync.Mutex
	var uploads []upload
	var senders sync.WaitGroup
	for range uploaders {
		senders.Go(func() {
			time.Sleep(time.Duration(rand.Float64() * float64(maxUpload)))
			for {
				select {
				case <-done:
					return
				default:
				}
				u := upload{begunAt: b.pick()}
				u.send(minUpload + time.Duration(rand.Float64()*float64(maxUpload-minUpload)))
				mu.Lock()
				uploads = append(uploads, u)
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	stops := make(map[string][]time.Time)
	var stopping sync.WaitGroup
	for i, end := 0, time.Now().Add(planTime); time.Now().Before(end); i++ {
		if p.trouble {
			h := p.hosts[i%len(p.hosts)]
			stops[h.name] = append(stops[h.name], time.Now())
			stopping.Go(func() { p.restart(h) })
		}
		time.Sleep(stopGap)
	}
	stopping.Wait()
	close(done)
	senders.Wait()
	return p.judgeStops(uploads, ran, stops), nil
}

// restart stops a host as the platform does, and starts it again.
func (p *play) restart(h *host) {
	p.note("SIGTERM to %s", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.done:
		p.note("%s has ended", h.name)
	case <-time.After(grace):
		p.note("SIGKILL to %s at the end of the grace", h.name)
		h.kill()
	}
	if err := errors.Join(h.writeSettings(false), h.start()); err != nil {
		p.note("%s does not start: %v", h.name, err)
	}
}

// judgeStops looks for requests that a stopping host has passed on and broken off, although their
// targets were at work and neither the deadline nor the timeout was reached.
func (p *play) judgeStops(uploads []upload, ran *runs, stops map[string][]time.Time) bool {
	byID := ran.byID()
	statuses := make(map[int]int)
	late, lost, excused := 0, 0, 0
	for _, u := range uploads {
		statuses[u.status]++
		verdict := ""
		for _, stop := range stops[u.host] {
			if u.whole.Before(stop) || u.ended.Before(stop) || u.begun.After(stop.Add(grace+time.Second)) {
				continue
			}
			isLate := u.whole.After(stop.Add(excusedUntil))
			if isLate {
				late++
			}
			brokenOff := false
			for _, r := range byID[u.id] {
				brokenOff = brokenOff || !r.brokenOff.IsZero()
			}
			inTime := u.ended.Sub(u.begun) < time.Duration(lateTimeout*float64(time.Second))-100*time.Millisecond
			if u.signed || !brokenOff || !inTime {
				continue
			}
			if !isLate {
				excused++
				verdict = " (excused: sent within 3 s of the SIGTERM)"
				continue
			}
			lost++
			verdict = fmt.Sprintf(" LOST: SIGTERM at %s, last byte %v later, broken off %v after it, %v after its head",
				stop.Format(clockForm), u.whole.Sub(stop), u.ended.Sub(stop), u.ended.Sub(u.begun))
		}
		p.note("%v; runs %v%s", u, byID[u.id], verdict)
	}
	p.note("requests %d, by status %v; with the last byte over 3 s after a SIGTERM %d, of these broken off at their targets %d (excused as sent earlier %d)",
		len(uploads), statuses, late, lost, excused)
	return lost > 0
}
