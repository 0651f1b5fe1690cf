package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestPipelinedRequestUnansweredAtLeave guards against requests that a leaving host has read together with
// the one before them on their connection, and never answers.
func TestPipelinedRequestUnansweredAtLeave(t *testing.T) {
	var leaving atomic.Bool
	leaving.Store(true)
	begun, release := make(chan struct{}, 2), make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	})
	l, err := listen(freeAddress(t), handler, DefaultMaxHeaderBytes, nil, leaving.Load)
	assertNoError(t, err)
	conn, err := net.Dial("tcp", l.conns.Addr().String())
	assertNoError(t, err)
	defer func() { _ = conn.Close() }()
	const request = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	_, err = io.WriteString(conn, request+request)
	assertNoError(t, err)
	<-begun
	ended := make(chan error, 1)
	go func() { ended <- l.shutdown(testContext(t)) }()
	close(release)
	assertNoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	r := bufio.NewReader(conn)
	for _, last := range []bool{false, true} {
		response, err := http.ReadResponse(r, nil)
		assertNoError(t, err)
		assertEqual(t, "the response ends the connection", response.Close, last)
		_, err = io.Copy(io.Discard, response.Body)
		assertNoError(t, err)
	}
	assertNoError(t, <-ended)
}
