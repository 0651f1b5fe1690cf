package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// freshPerSecond is the number of requests a second of clients that open a new connection for each.
	freshPerSecond = 79
	// freshTime is how long they come.
	freshTime = 75 * time.Second
	// maxFDs is max_fds of the settings.
	maxFDs = 4100
	// clientFDs is the number of descriptors that the clients need.
	clientFDs = 6000
	// idleLimit is idle_timeout_s of the configuration.
	idleLimit = 15 * time.Second
	// coverTimeout is timeout_s of the route, lateAnswer how much later an answer is late.
	coverTimeout = time.Second
	lateAnswer   = 500 * time.Millisecond
	// steps divide the record.
	step = 5 * time.Second
)

// freshClients are clients that open a new connection for each request.
type freshClients struct {
	bed *bed
	// leave reports that they leave a connection open for longer than the host's limit. Otherwise they
	// close it after four fifths of that.
	leave bool

	mu sync.Mutex
	// asked counts the requests by step, overdue those without an answer at the route's timeout,
	// silent those without one half a second later.
	asked, overdue, silent map[int]int
}

// send sends one request.
func (c *freshClients) send(h *host, at int) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		c.bed.record.printf("client: %s: %v", id, err)
		return
	}
	idle := idleLimit * 4 / 5
	if c.leave {
		idle = 4 * idleLimit
	}
	time.AfterFunc(idle, func() { _ = conn.Close() })
	sent := time.Now()
	_, _ = fmt.Fprintf(conn, "GET /cover/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", hostName, id)
	_ = conn.SetReadDeadline(sent.Add(2 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
	}
	took := time.Since(sent)
	c.bed.record.printf("client: %s is answered %d after %v, %v", id, status, took.Round(time.Millisecond), err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked[at]++
	if took > coverTimeout {
		c.overdue[at]++
	}
	if took > coverTimeout+lateAnswer {
		c.silent[at]++
	}
}

// idleClients: clients open a new connection for each request, and leave it open, idle, for longer than
// idleLimit, after which the host may close it.
func idleClients(b *bed) error {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Cur < clientFDs {
		return fmt.Errorf("clients need %d descriptors, have %d, %v", clientFDs, own.Cur, err)
	}
	s := service{name: "coverdesk"}
	if err := b.configure(3, []service{s}, []route{{prefix: "/cover/", service: s.name, kind: "safe", timeoutS: coverTimeout.Seconds(), targetLatencyS: 0.5, maxAttempts: 2}}); err != nil {
		return err
	}
	for i, zone := range []string{"pos-a", "pos-b"} {
		if _, err := b.startBackend(fmt.Sprintf("i-cover%d", i+1), zone, s, 20, 20, 160*time.Millisecond); err != nil {
			return err
		}
	}
	if err := b.startHosts("pos-a"); err != nil {
		return err
	}
	h := b.hosts[0]
	limit := unix.Rlimit{Cur: maxFDs, Max: maxFDs}
	if err := unix.Prlimit(h.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return err
	}
	c := &freshClients{bed: b, leave: b.trouble, asked: make(map[int]int), overdue: make(map[int]int), silent: make(map[int]int)}
	var all sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < freshTime; i++ {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / freshPerSecond)))
		at := int(time.Since(begun) / step)
		all.Go(func() { c.send(h, at) })
		if i%(5*freshPerSecond) == 0 {
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid))
			if err != nil {
				return err
			}
			b.record.printf("host has %d descriptors open", len(open))
		}
	}
	all.Wait()
	return c.judge()
}

// judge judges the rule CONFIG: of the requests that are unanswered at their route's timeout, more
// than half have no answer half a second later.
func (c *freshClients) judge() error {
	asked, overdue, silent := 0, 0, 0
	for at := 0; at < int(freshTime/step); at++ {
		c.bed.record.printf("from %v on: %d asked, %d without an answer at the timeout, %d half a second later", time.Duration(at)*step, c.asked[at], c.overdue[at], c.silent[at])
		asked, overdue, silent = asked+c.asked[at], overdue+c.overdue[at], silent+c.silent[at]
	}
	c.bed.record.printf("%d asked, %d without an answer at the timeout, %d half a second later", asked, overdue, silent)
	if asked < freshPerSecond*30 {
		return fmt.Errorf("only %d requests were sent", asked)
	}
	if silent >= 8 && silent*2 > overdue {
		return fmt.Errorf("%d of %d requests had no answer at the route's timeout, %d none half a second later: %w", overdue, asked, silent, errBroken)
	}
	return nil
}
