//go:build review2

package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

func gone(p *play) (bool, error) {
	p.configure([]route{{name: "pay", service: "ledger", kind: "unsafe", timeout: 8, maxAttempts: 2}, {name: "look", service: "ledger", kind: "safe", timeout: 8, maxAttempts: 2}}, []service{{name: "ledger"}})
	ran := &runs{}
	work := 20 * time.Millisecond
	for i := range 3 {
		t := &target{id: fmt.Sprintf("i-%d", i+1), service: "ledger", zone: "pos-a", slots: 8, queue: 80, runs: ran, work: func() time.Duration { return work }}
		if err := p.addTarget(t, i); err != nil {
			return false, err
		}
	}
	h, err := p.addHost("pos-a", true)
	if err != nil {
		return false, err
	}
	if err := p.awaitServed(newCaller(h), "/pay/x"); err != nil {
		return false, err
	}
	work = 4 * time.Second
	time.Sleep(time.Second)
	n := 0
	try := func(name string, rst bool, raw ...string) {
		conn, err := net.Dial("tcp", h.front)
		if err != nil {
			return
		}
		var ids []string
		for _, r := range raw {
			n++
			id := fmt.Sprintf("gone%d", n)
			ids = append(ids, id)
			fmt.Fprint(conn, strings.Replace(r, "ID", id, 1))
		}
		time.Sleep(400 * time.Millisecond)
		if rst {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
		left := time.Now()
		time.Sleep(1500 * time.Millisecond)
		by := ran.byID()
		for _, id := range ids {
			for _, r := range by[id] {
				d := "still at work"
				if !r.brokenOff.IsZero() {
					d = fmt.Sprint("broken off after ", r.brokenOff.Sub(left))
				}
				p.note("%s %s: %s, began %v", name, id, d, r.at.Sub(left))
			}
			if len(by[id]) == 0 {
				p.note("%s %s: no run", name, id)
			}
		}
	}
	head := "Host: " + callerHost + "\r\nX-Request-Id: ID\r\nX-Deadline-Ms: 7000\r\n"
	g := "GET /look/a HTTP/1.1\r\n" + head + "\r\n"
	post := func(k int) string {
		return fmt.Sprintf("POST /look/a HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", head, k, strings.Repeat("x", k))
	}
	chunk := func(k int) string {
		return fmt.Sprintf("POST /look/a HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, k, strings.Repeat("x", k))
	}
	for _, rst := range []bool{false, true} {
		p.note("reset %v", rst)
		try("get", rst, g)
		try("pipelined", rst, g, g, g)
		try("post", rst, post(100))
		try("post 300k", rst, post(300<<10))
		try("chunked", rst, chunk(100))
		try("chunked 300k", rst, chunk(300<<10))
		try("post+get", rst, post(100), g)
		try("get+post", rst, g, post(100))
		try("many", rst, strings.Split(strings.Repeat(g+"|", 12), "|")...)
		try("get+partial", rst, g, "GET /look/a HT")
		try("get+20k", rst, g, post(20000))
		try("expect", rst, strings.Replace(post(100), "Content-Length", "Expect: 100-continue\r\nContent-Length", 1))
	}
	return false, nil
}
