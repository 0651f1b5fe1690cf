package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a proxy between hosts and a backend.
type link struct {
	listener net.Listener
	to       string
	// delay is added to data in both directions, in nanoseconds; stalled holds all data back.
	delay   atomic.Int64
	stalled atomic.Bool
	refuse  atomic.Bool
	// cutAfter resets a connection after so many bytes of answers; 0 for never.
	cutAfter atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &link{listener: l, to: to, conns: make(map[net.Conn]bool)}
	go x.accept()
	return x, nil
}

func (x *link) accept() {
	for {
		c, err := x.listener.Accept()
		if err != nil {
			return
		}
		if x.refuse.Load() {
			reset(c)
			continue
		}
		go x.carry(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (x *link) carry(c net.Conn) {
	server, err := net.Dial("tcp", x.to)
	if err != nil {
		reset(c)
		return
	}
	x.mu.Lock()
	x.conns[c] = true
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.conns, c)
		x.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { x.pump(server, c, false) })
	wg.Go(func() { x.pump(c, server, true) })
	wg.Wait()
	_ = c.Close()
	_ = server.Close()
}

func (x *link) pump(to, from net.Conn, answers bool) {
	buffer := make([]byte, 16<<10)
	total := int64(0)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(x.delay.Load()))
		for x.stalled.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			total += int64(n)
			if cut := x.cutAfter.Load(); answers && cut > 0 && total > cut {
				_, _ = to.Write(buffer[:n/2])
				reset(to)
				reset(from)
				return
			}
			if _, werr := to.Write(buffer[:n]); werr != nil {
				reset(from)
				reset(to)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			reset(from)
			return
		}
	}
}

// resetAll resets all open connections.
func (x *link) resetAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.conns {
		reset(c)
	}
}
