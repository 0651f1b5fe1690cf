package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// An upload is sent in pieces, as over a link of 50 Mbit/s, by each of some clients.
const (
	uploadBytes = 600 << 10
	pieceBytes  = 8 << 10
	pieceTime   = 1300 * time.Microsecond
	uploaders   = 8
	// earlyWindows is the number of windows in which answers come early, earlyPause the time between
	// them, and earlyShare the share of a backend's answers that come early in a window.
	earlyWindows = 3
	earlyPause   = 2 * time.Second
	earlyShare   = 0.02
	// answerAfter is what the backend has read of an upload when it answers, resultBytes the size of its
	// answer's body.
	answerAfter = 64 << 10
	resultBytes = 1 << 20
)

// pattern returns bytes of an upload: each eight of them are the upload's number and their offset.
func pattern(number uint32, from, to int) []byte {
	data := make([]byte, 0, to-from)
	for offset := from; offset < to; offset += 8 {
		data = binary.BigEndian.AppendUint32(data, number)
		data = binary.BigEndian.AppendUint32(data, uint32(offset))
	}
	return data
}

// receipt is what the archive has got of an upload.
type receipt struct {
	bytes int
	// answered is the offset at which it was answered, wrong that of the first bytes that are not the
	// upload's; -1 for none.
	answered, wrong int
	// err is nil if the body came to its end.
	err error
}

// archive is a stand-in for a backend that takes uploads. In a window it answers some before it has
// read their long body, keeps the connection and reads on.
type archive struct {
	bed *bed
	id  string

	mu       sync.Mutex
	received map[string]receipt
	// until is the end of the window, begun and early are the uploads in it and those of them that are
	// answered early.
	until        time.Time
	begun, early int
}

// answersEarly counts an upload, and reports whether it is answered early.
func (a *archive) answersEarly() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().After(a.until) {
		return false
	}
	a.begun++
	if float64(a.early+1) > earlyShare*float64(a.begun) {
		return false
	}
	a.early++
	return true
}

// window has the archive answer early for spoilTime.
func (a *archive) window() {
	a.mu.Lock()
	a.until, a.begun, a.early = time.Now().Add(spoilTime), 0, 0
	a.mu.Unlock()
	time.Sleep(spoilTime)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bed.record.printf("window ends: %s has answered %d of %d uploads early", a.id, a.early, a.begun)
}

func (a *archive) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go a.serve(conn)
	}
}

func (a *archive) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		a.bed.record.printf("%s runs %s", a.id, id)
		got := a.take(conn, r, id)
		a.bed.record.printf("%s has read %d bytes of %s, answered it at %d, first other byte at %d, end: %v", a.id, got.bytes, id, got.answered, got.wrong, got.err)
		a.mu.Lock()
		a.received[id] = got
		a.mu.Unlock()
		if got.err != nil {
			return
		}
	}
}

// take reads the body of an upload, and answers it.
func (a *archive) take(conn net.Conn, r *http.Request, id string) receipt {
	var number uint32
	_, _ = fmt.Sscanf(r.URL.Path, "/upload/%d", &number)
	got := receipt{wrong: -1, answered: -1}
	early := a.answersEarly()
	var answering sync.WaitGroup
	answer := func() {
		got.answered = got.bytes
		answering.Go(func() {
			_, _ = conn.Write(encode(http.StatusOK, map[string]string{"X-Request-Id": id, "X-Response-Signature": "sig." + id}, strings.Repeat("r", resultBytes)))
		})
	}
	word := make([]byte, 8)
	for {
		if early && got.answered < 0 && got.bytes >= answerAfter {
			answer()
		}
		if _, err := io.ReadFull(r.Body, word); err != nil {
			if !errors.Is(err, io.EOF) {
				got.err = err
			}
			break
		}
		from, offset := binary.BigEndian.Uint32(word), binary.BigEndian.Uint32(word[4:])
		if got.wrong < 0 && (from != number || offset != uint32(got.bytes)) {
			got.wrong = got.bytes
			a.bed.record.printf("%s: %s: at offset %d come the bytes of offset %d of upload %d", a.id, id, got.bytes, offset, from)
		}
		got.bytes += 8
	}
	if got.answered < 0 && got.err == nil {
		answer()
	}
	answering.Wait()
	return got
}

// upload sends an upload and returns the status of its answer, and the length of its body.
func (b *bed) upload(h *host, number uint32, id string) (status int, result int64, err error) {
	conn, err := net.Dial("tcp", h.front)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	if _, err = fmt.Fprintf(conn, "POST /upload/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", number, hostName, id); err != nil {
		return 0, 0, err
	}
	sent := make(chan error, 1)
	go func() { sent <- sendUpload(conn, number) }()
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	result, err = io.Copy(io.Discard, resp.Body)
	if err == nil {
		err = <-sent
	}
	return resp.StatusCode, result, err
}

func sendUpload(conn net.Conn, number uint32) error {
	begun := time.Now()
	for offset := 0; offset < uploadBytes; offset += pieceBytes {
		time.Sleep(time.Until(begun.Add(time.Duration(offset/pieceBytes) * pieceTime)))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", pieceBytes, pattern(number, offset, offset+pieceBytes)); err != nil {
			return err
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// earlyAnswer: clients send long bodies, and the backend answers before it has read them.
func earlyAnswer(b *bed) error {
	s := service{name: "recordsvault"}
	if err := b.configure(3, []service{s}, []route{{prefix: "/upload/", service: s.name, kind: "unsafe", timeoutS: 4, targetLatencyS: 2, maxAttempts: 2}}); err != nil {
		return err
	}
	var archives []*archive
	for i, zone := range []string{"pos-a", "pos-b"} {
		a, err := b.startArchive(fmt.Sprintf("i-archive%d", i+1), zone, s)
		if err != nil {
			return err
		}
		archives = append(archives, a)
	}
	if err := b.startHosts("pos-a", "pos-b"); err != nil {
		return err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	var asked, served atomic.Int64
	for i := range uploaders {
		h := b.hosts[i%2]
		all.Go(func() {
			for n := i; ; n += uploaders {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%016x", rand.Uint64())
				status, result, err := b.upload(h, uint32(n), id)
				b.record.printf("client: upload %d, %s, at %s is answered %d with %d bytes, %v", n, id, h.name, status, result, err)
				asked.Add(1)
				if status == http.StatusOK && err == nil {
					served.Add(1)
				}
			}
		})
	}
	for range earlyWindows {
		time.Sleep(earlyPause)
		if b.trouble {
			archives[0].window()
		} else {
			time.Sleep(spoilTime)
		}
	}
	close(stop)
	all.Wait()
	time.Sleep(time.Second)
	return b.judgeBodies(archives, asked.Load(), served.Load())
}

// startArchive starts an archive, which registers itself in the store.
func (b *bed) startArchive(id, zone string, s service) (*archive, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &archive{bed: b, id: id, received: make(map[string]receipt)}
	go a.accept(listener)
	ctx, stop := context.WithCancel(context.Background())
	t := &backend{bed: b, id: id, service: s.name, zone: zone, address: listener.Addr().String(), listener: listener, stop: stop, slots: 8, born: time.Now().UnixMilli()}
	b.mu.Lock()
	b.backends = append(b.backends, t)
	b.mu.Unlock()
	go b.beat(ctx, t)
	b.record.printf("backend %s of %s starts at %s", id, s.name, t.address)
	return a, nil
}

// judgeBodies judges the rule UNASKED: a backend that has answered early gets other bytes where the
// rest of the body is due.
func (b *bed) judgeBodies(archives []*archive, asked, served int64) error {
	changed, complete := 0, 0
	for _, a := range archives {
		a.mu.Lock()
		for id, got := range a.received {
			switch {
			case got.err == nil && got.bytes != uploadBytes:
				changed++
				complete++
				b.record.printf("UNASKED: %s came to its end at %s with %d of %d bytes", id, a.id, got.bytes, uploadBytes)
			case got.wrong >= 0:
				changed++
				b.record.printf("UNASKED: %s has other bytes at %s from %d on", id, a.id, got.wrong)
			}
		}
		a.mu.Unlock()
	}
	b.record.printf("%d of %d uploads were answered 200; %d had other bytes, %d of these came to an end", served, asked, changed, complete)
	if served < 100 {
		return fmt.Errorf("only %d uploads were answered 200", served)
	}
	if changed > 0 {
		return fmt.Errorf("%d of %d bodies were changed, %d of them came to an end: %w", changed, asked, complete, errBroken)
	}
	return nil
}
