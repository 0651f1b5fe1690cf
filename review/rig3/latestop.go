package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The work of cup-entry: 250 ms as a rule, for a few requests seven times as much.
const (
	entryWork     = 250 * time.Millisecond
	longEntryWork = 7 * entryWork
	entryBytes    = 24_000
	entryPieces   = 12
	entryTimeout  = 5 * time.Second
	entryDeadline = 6 * time.Second
	grace         = 6 * time.Second
	// usualEntries is the number of requests before the stop, lateEntries that of those of which the body ends
	// late in the stop. The last one is the long one.
	usualEntries = 30
	lateEntries  = 10
)

// entry is a request with a body that is sent in pieces.
type entry struct {
	id             string
	work, bodyTime time.Duration
	status         int
	err            error
	// ended is when the last byte of the body was sent, answered when the answer or the end of the connection came.
	begun, ended, answered time.Time
}

// send sends the request to a host.
func (e *entry) send(r *rig, h *host) {
	r.rec.line("client begins to send %s to %s: %d ms of work, a body of %.1f s", e.id, h.name, e.work.Milliseconds(), e.bodyTime.Seconds())
	e.begun = time.Now()
	e.status, e.err = e.exchange(h)
	e.answered = time.Now()
	r.rec.line("client got %d to %s, error %v; its body ended at %.3f", e.status, e.id, e.err, r.rec.at(e.ended))
}

func (e *entry) exchange(h *host) (int, error) {
	c, err := net.Dial("tcp", h.front)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST /entry/x?ms=%d HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		e.work.Milliseconds(), e.id, entryDeadline.Milliseconds(), entryBytes); err != nil {
		return 0, err
	}
	piece := bytes.Repeat([]byte("x"), entryBytes/entryPieces)
	for range entryPieces {
		time.Sleep(e.bodyTime / entryPieces)
		if _, err := c.Write(piece); err != nil {
			return 0, err
		}
	}
	e.ended = time.Now()
	if err := c.SetReadDeadline(e.ended.Add(entryDeadline)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func newEntry(work, bodyTime time.Duration) *entry {
	return &entry{id: fmt.Sprintf("%016x", rand.Uint64()), work: work, bodyTime: bodyTime}
}

// lateStop stops a host in calm while bodies of requests end late in its grace. One of them works longer than any that
// the host has seen.
func lateStop(r *rig) (int, error) {
	if err := r.configure([]route{
		{Name: "r-entry", Host: "site.example", PathPrefix: "/entry/", Kind: "unsafe", TimeoutS: entryTimeout.Seconds(), TargetS: 1, Priority: 1, Service: "cupdesk", Attempts: 2},
	}, []service{{Name: "cupdesk", HealthPath: "/health", MaxConnections: 560, Protocol: "h1"}}); err != nil {
		return 0, err
	}
	for i := range backends {
		if err := r.add(fmt.Sprintf("i-%d", i+1), "cupdesk", false); err != nil {
			return 0, err
		}
	}
	if err := r.startHosts("pos-a", "pos-b", "chag-a"); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	h := r.hosts[0]
	for range usualEntries {
		newEntry(entryWork, entryPieces*time.Millisecond).send(r, h)
	}
	time.Sleep(time.Second)
	stopped := time.Now()
	if r.trouble {
		r.signal(h, syscall.SIGTERM)
	}
	var entries []*entry
	var sent sync.WaitGroup
	for i := range lateEntries {
		e := newEntry(entryWork, 2700*time.Millisecond)
		if i == lateEntries-1 {
			e.work = longEntryWork
		}
		entries = append(entries, e)
		// The platform takes a stopping host out after two misses, up to 2 s after the SIGTERM.
		at := stopped.Add(900*time.Millisecond + time.Duration(i)*10*time.Millisecond)
		sent.Go(func() {
			time.Sleep(time.Until(at))
			e.send(r, h)
		})
	}
	sent.Wait()
	if r.trouble {
		select {
		case <-h.done:
			r.rec.line("host %s has ended", h.name)
		case <-time.After(time.Until(stopped.Add(grace))):
			r.signal(h, syscall.SIGKILL)
		}
	}
	return r.checkLost(entries, stopped)
}

// checkLost checks the rule LOST around a SIGTERM.
func (r *rig) checkLost(entries []*entry, stopped time.Time) (int, error) {
	lost := 0
	for _, e := range entries {
		age := e.answered.Sub(e.begun)
		late := e.ended.Sub(stopped) > 3*time.Second
		if e.status != http.StatusBadGateway && e.err == nil || !r.rec.hasRun(e.id) || !late || age > entryTimeout-100*time.Millisecond {
			continue
		}
		lost++
		r.rec.line("%s was passed on, its last byte came %.2f s after the SIGTERM, and it was broken off %.2f s after it, %.2f s after its begin: status %d, error %v",
			e.id, e.ended.Sub(stopped).Seconds(), e.answered.Sub(stopped).Seconds(), age.Seconds(), e.status, e.err)
	}
	if lost == 0 {
		r.rec.line("LOST held: no request was broken off at its backend")
		return held, nil
	}
	r.rec.line("LOST broken: %d of %d requests were broken off at their backends", lost, len(entries))
	return broken, nil
}
