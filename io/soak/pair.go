package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// pairShare is the share of a caller's turns in which it sends two requests at once.
const pairShare = 0.15

// pairConn is a connection on which a caller sends two requests at once, without waiting for the response
// to the first.
type pairConn struct {
	net.Conn
	reader *bufio.Reader
}

// sendPair sends two requests to the host with the given number in one write, and reports their responses
// to the checker.
func (c *caller) sendPair(number int) {
	conn, err := c.pairConn(number)
	if err != nil {
		return
	}
	var text bytes.Buffer
	pair := []*Response{c.writeRequest(&text, number), c.writeRequest(&text, number)}
	_, err = conn.Write(text.Bytes())
	_ = conn.SetReadDeadline(time.Now().Add(2 * requestTimeout))
	ends := err != nil
	for i, response := range pair {
		if !ends {
			ends, err = c.readPairResponse(conn, response)
		}
		response.Ended = time.Now()
		response.Restarted = response.Incarnation != c.system.hosts[number].currentIncarnation()
		response.Behind = i > 0 && pair[i-1].Status != 0 && !errors.Is(err, os.ErrDeadlineExceeded)
		c.system.checker.AddResponse(*response)
	}
	if ends {
		_ = conn.Close()
		delete(c.pairs, number)
	}
}

// pairConn returns the open connection to a host, or a new one.
func (c *caller) pairConn(number int) (*pairConn, error) {
	if conn := c.pairs[number]; conn != nil {
		return conn, nil
	}
	conn, err := net.DialTimeout("tcp", c.system.hosts[number].callerAddress, requestTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c.pairs[number] = &pairConn{Conn: conn, reader: bufio.NewReader(conn)}
	return c.pairs[number], nil
}

// writeRequest writes a request to a host, half of those that may run again without a body.
func (c *caller) writeRequest(to io.Writer, number int) *Response {
	c.requests++
	h := c.system.hosts[number]
	response := &Response{
		ID: fmt.Sprintf("s%d-%d-%d", c.system.options.Seed, c.number, c.requests), Host: number, Incarnation: h.currentIncarnation(), Sent: time.Now(),
	}
	req := c.newRequest(response, h)
	req.Body = io.NopCloser(strings.NewReader(response.ID))
	if !response.Once && c.random.IntN(2) == 0 {
		req.Method, req.Body, req.ContentLength = http.MethodGet, nil, 0
	}
	if c.requests%2 == 0 {
		req.Header.Set("Connection", "keep-alive")
	}
	if err := req.Write(to); err != nil {
		panic(err)
	}
	return response
}

// readPairResponse reads a response, and reports whether the connection ends with it.
func (c *caller) readPairResponse(conn *pairConn, response *Response) (ends bool, err error) {
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return true, errors.Wrap(err, "read response")
	}
	c.readResponse(response, resp)
	return resp.Close || response.Status == 0, nil
}

// closePairs closes the connections of pairs.
func (c *caller) closePairs() {
	for _, conn := range c.pairs {
		_ = conn.Close()
	}
}

// checkBehind checks a request that was sent in one write with one before it, which was answered: its host
// has read it. The caller holds mu.
func (c *Checker) checkBehind(response Response) {
	if !response.Behind {
		return
	}
	c.counts["behind"]++
	if response.Status == 0 && !response.Restarted && !c.hostFailed(response) {
		c.addViolation("request %s was read by host %d behind one that was answered, and never answered", response.ID, response.Host)
	}
}

// hostFailed reports whether a fault affected the host of a request during it or within quietPeriod before.
func (c *Checker) hostFailed(response Response) bool {
	return slices.ContainsFunc(c.windows, func(w Window) bool {
		affected := (w.Host == response.Host || w.Kind == AllHostsKill) && !w.Kind.Planned()
		return affected && w.From.Before(response.Ended) && w.To.After(response.Sent.Add(-quietPeriod))
	})
}
