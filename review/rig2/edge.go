//go:build review2

package main

import (
	"bufio"
	"bytes"
	"crypto/sha1"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func edge(p *play) (bool, error) {
	p.configure([]route{{name: "pay", service: "ledger", kind: "unsafe", timeout: 5, maxAttempts: 2}, {name: "look", service: "ledger", kind: "safe", timeout: 5, maxAttempts: 2}}, []service{{name: "ledger"}})
	ran := &runs{}
	for i := range 3 {
		t := &target{id: fmt.Sprintf("i-%d", i+1), service: "ledger", zone: "pos-a", slots: 8, queue: 80, runs: ran, work: func() time.Duration { return 20 * time.Millisecond }}
		t.echo = true
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
	type req struct {
		method, path, headers, body string
		chunked                     bool
		raw                         string
	}
	n := 0
	build := func(r req) (string, string) {
		n++
		id := fmt.Sprintf("edge%d", n)
		hd := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n%s", r.method, r.path, callerHost, id, r.headers)
		if r.chunked {
			s := hd + "Transfer-Encoding: chunked\r\n\r\n"
			for b := r.body; len(b) > 0; {
				k := min(len(b), 1000)
				s += fmt.Sprintf("%x;ext=1\r\n%s\r\n", k, b[:k])
				b = b[k:]
			}
			s += "0\r\nX-Trail: 1\r\n\r\n"
			return id, s
		}
		if r.body != "" || r.method == "POST" {
			hd += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
		}
		return id, hd + "\r\n" + r.body
	}
	want := func(r req) string {
		return fmt.Sprintf("%s %s %x", r.method, r.path, sha1.Sum([]byte(r.body)))
	}
	play := func(name string, piece int, pause time.Duration, halfClose bool, rs ...req) {
		conn, err := net.Dial("tcp", h.front)
		if err != nil {
			p.note("%s dial %v", name, err)
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(8 * time.Second))
		var all bytes.Buffer
		var ids []string
		for _, r := range rs {
			id, s := build(r)
			ids = append(ids, id)
			all.WriteString(s)
		}
		go func() {
			b := all.Bytes()
			for len(b) > 0 {
				k := min(piece, len(b))
				if _, err := conn.Write(b[:k]); err != nil {
					return
				}
				b = b[k:]
				if pause > 0 {
					time.Sleep(pause)
				}
			}
			if halfClose {
				conn.(*net.TCPConn).CloseWrite()
			}
		}()
		br := bufio.NewReader(conn)
		for i, r := range rs {
			hr := &http.Request{Method: r.method}
			resp, err := http.ReadResponse(br, hr)
			for err == nil && resp.StatusCode == 100 {
				resp, err = http.ReadResponse(br, hr)
			}
			if err != nil {
				p.note("BAD %s #%d: %v", name, i, err)
				return
			}
			body, err := io.ReadAll(resp.Body)
			ok := err == nil && resp.StatusCode == 200 && resp.Header.Get("X-Request-Id") == ids[i] && (string(body) == want(r) || r.method == "HEAD")
			if !ok {
				p.note("BAD %s #%d: status %d err %v id %s want %s body %.100q want %.100q close %v", name, i, resp.StatusCode, err, resp.Header.Get("X-Request-Id"), ids[i], body, want(r), resp.Close)
				return
			}
			if resp.Close {
				p.note("%s closes after #%d of %d", name, i, len(rs))
				return
			}
		}
		p.note("ok %s", name)
	}
	big := func(k int) string { return strings.Repeat("abcdefghij", k/10+1)[:k] }
	g, po := req{method: "GET", path: "/look/a?x=1"}, req{method: "POST", path: "/pay/a", body: "hello"}
	play("plain get", 1<<20, 0, false, g, g, g)
	play("expect", 1<<20, 0, false, req{method: "POST", path: "/pay/a", headers: "Expect: 100-continue\r\n", body: "hello"}, g)
	play("chunked", 1<<20, 0, false, req{method: "POST", path: "/pay/a", body: big(5000), chunked: true}, g, req{method: "POST", path: "/pay/a", body: big(3), chunked: true}, g)
	play("chunked empty", 1<<20, 0, false, req{method: "POST", path: "/pay/a", body: "", chunked: true}, g)
	play("bytewise", 1, time.Millisecond, false, g, po, g, req{method: "POST", path: "/pay/a", body: big(30), chunked: true}, g)
	play("pipeline mixed", 1<<20, 0, false, g, po, g, g, po, req{method: "POST", path: "/pay/b", body: big(7000), chunked: true}, g, g)
	play("get body", 1<<20, 0, false, req{method: "GET", path: "/look/a", body: "hello"}, g)
	play("head", 1<<20, 0, false, req{method: "HEAD", path: "/look/a"}, g)
	for _, k := range []int{256<<10 - 1, 256 << 10, 256<<10 + 1, 300 << 10, 2 << 20} {
		play(fmt.Sprint("big cl ", k), 1<<20, 0, false, req{method: "POST", path: "/pay/a", body: big(k)}, g)
		play(fmt.Sprint("big chunked ", k), 1<<20, 0, false, req{method: "POST", path: "/pay/a", body: big(k), chunked: true}, g)
		play(fmt.Sprint("big slow ", k), 20000, time.Millisecond, false, req{method: "POST", path: "/pay/a", body: big(k)}, g, po)
		play(fmt.Sprint("get behind big ", k), 1<<20, 0, false, g, req{method: "POST", path: "/pay/a", body: big(k)}, g, g)
	}
	var many []req
	for i := range 60 {
		many = append(many, req{method: "GET", path: fmt.Sprint("/look/", i), headers: "X-Pad: " + big(700) + "\r\n"})
	}
	play("60 pipelined", 1<<20, 0, false, many...)
	play("60 pipelined pieces", 333, time.Millisecond, false, many...)
	play("big header", 1<<20, 0, false, req{method: "GET", path: "/look/a", headers: "X-Pad: " + big(15000) + "\r\n"}, g)
	play("half close", 1<<20, 0, true, po)
	for _, path := range []string{"/look/a%2Fb", "/look/%20x", "/look/a//b", "/look/../look/z", "/look/a?", "/look/a?q=%zz&b=c;d", "/look/ü", "/look/a;b=c", "/look/a?x=http://y/z?k", "/look/%", "/look/a|b", "/look/\"q\""} {
		play("path "+path, 1<<20, 0, false, req{method: "GET", path: path}, g)
	}
	for _, m := range []string{"PUT", "DELETE", "PATCH", "OPTIONS", "PURGE"} {
		play("method "+m, 1<<20, 0, false, req{method: m, path: "/pay/a", body: "x"}, g)
	}
	return false, nil
}
