package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// answerWith returns a handler that answers each request on a connection with a text.
func answerWith(text string) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

// TestInvalidAnswers guards against bytes of a target in trouble that a caller gets as an answer, or that end the
// caller's connection without one.
func TestInvalidAnswers(t *testing.T) {
	const rest = "Content-Length: 5\r\n\r\nhello"
	status := func(s string) string { return strings.Replace(signedHead, "200 OK", s, 1) + rest }
	for name, text := range map[string]string{
		"status 000": status("000 Trouble"), "status 000 alone": status("000"), "status 020": status("020 OK"), "status 099": status("099 OK"),
		"status with a sign": status("+20 OK"), "status below zero": status("-20 OK"), "status -00": status("-00 OK"), "status 101": status("101 Switching Protocols"),
		"status 101 with a protocol": strings.Replace(signedHead, "200 OK", "101 Switching Protocols", 1) + "Connection: upgrade\r\nUpgrade: other\r\n\r\n",
		"status 600":                 status("600 OK"), "status 999": status("999 OK"), "status of two digits": status("20 OK"), "status of four digits": status("2000 OK"),
		"blank after Content-Length":    signedHead + "Content-Length : 5\r\n\r\nhello",
		"blank after Transfer-Encoding": signedHead + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"blank in a name":               signedHead + "X Name: 1\r\n" + rest,
		"blanks after a name":           signedHead + "X-Name  : 1\r\n" + rest,
		"tab in a name":                 signedHead + "X\tName: 1\r\n" + rest,
		"NUL in a name":                 signedHead + "X\x00Name: 1\r\n" + rest,
		"DEL in a name":                 signedHead + "X\x7fName: 1\r\n" + rest,
		"no name":                       signedHead + ": 1\r\n" + rest,
		"bare CR in a value":            signedHead + "X-Name: 1\r2\r\n" + rest,
		"blank in an interim name":      "HTTP/1.1 103 Early Hints\r\nX Name: 1\r\n\r\n" + signedHead + rest,
		"blank in a trailer's name":     signedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Name: 1\r\n\r\n",
		"too many interim responses":    strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Name: 1\r\n\r\n", 3000) + signedHead + rest,
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", name, relayed), func(t *testing.T) {
				t.Parallel()
				server := serveForm(t, relayed, answerWith(text))
				for range 2 {
					status, size, err := upload(t, server, strings.NewReader("body"))
					if err != nil || status != http.StatusBadGateway {
						t.Errorf("response: got status %d, %d bytes, error %v, want 502", status, size, err)
					}
				}
			})
		}
	}
}

// TestInvalidTrailerOfLongAnswer guards against a long answer that looks whole though what follows it is no trailer.
func TestInvalidTrailerOfLongAnswer(t *testing.T) {
	const size = 2 * maxBufferedResponse
	text := signedHead + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Name: 1\r\n\r\n", size, strings.Repeat("a", size))
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %t", relayed), func(t *testing.T) {
			server := serveForm(t, relayed, answerWith(text))
			if status, size, err := upload(t, server, strings.NewReader("body")); err == nil {
				t.Errorf("response: got status %d, %d bytes, complete, want one that is broken off", status, size)
			}
		})
	}
}

// TestOddAnswers guards against sound answers that count as invalid.
func TestOddAnswers(t *testing.T) {
	const rest = "Content-Length: 5\r\n\r\nhello"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"status 299":      {strings.Replace(signedHead, "200 OK", "299 Odd", 1) + rest, 299},
		"status 399":      {strings.Replace(signedHead, "200 OK", "399 Odd", 1) + rest, 399},
		"status 451":      {strings.Replace(signedHead, "200 OK", "451 Odd", 1) + rest, 451},
		"status 599":      {strings.Replace(signedHead, "200 OK", "599 Odd", 1) + rest, 599},
		"no reason":       {strings.Replace(signedHead, "200 OK", "200", 1) + rest, 200},
		"all name bytes":  {signedHead + "x!#$%&'*+-.^_`|~9: 1\r\n" + rest, 200},
		"blank value":     {signedHead + "X-Name: \r\n" + rest, 200},
		"blanks in value": {signedHead + "X-Name:  1 \t 2 \r\n" + rest, 200},
		"interim":         {"HTTP/1.1 103 Early Hints\r\nX-Name: 1\r\n\r\n" + signedHead + rest, 200},
		"many interim":    {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000) + signedHead + rest, 200},
		"trailer":         {signedHead + "Transfer-Encoding: chunked\r\nTrailer: X-Name\r\n\r\n5\r\nhello\r\n0\r\nX-Name: 1\r\n\r\n", 200},
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", name, relayed), func(t *testing.T) {
				t.Parallel()
				server := serveForm(t, relayed, answerWith(c.text))
				for range 2 {
					status, size, err := upload(t, server, strings.NewReader("body"))
					if err != nil || status != c.status || size != len("hello") {
						t.Errorf("response: got status %d, %d bytes, error %v, want %d, %d bytes", status, size, err, c.status, len("hello"))
					}
				}
			})
		}
	}
}
