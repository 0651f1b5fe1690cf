package listener

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// TestEndOfBody guards against requests that are taken for a part of the body of the one before them, or
// the reverse: the end is where the server library sees it.
func TestEndOfBody(t *testing.T) {
	const head, next = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name, body string
		broken     bool
	}{
		{"empty", "0\r\n\r\n", false},
		{"one chunk", "3\r\nabc\r\n0\r\n\r\n", false},
		{"a request in a chunk", "1B\r\n" + next + "\r\n00\r\n\r\n", false},
		{"extension", "3;a=\"b\"\r\nabc\r\n2\r\n\r\n\r\n0;c\r\n\r\n", false},
		{"trailer", "1\r\na\r\n0\r\nX: 1\r\nY: 2\r\n\r\n", false},
		{"bare line feed", "1\na\r\n0\r\n\r\n", true},
		{"no size", "\r\na\r\n0\r\n\r\n", true},
		{"a size that isn't one", "x\r\na\r\n0\r\n\r\n", true},
		{"negative", "-1\r\na\r\n0\r\n\r\n", true},
		{"endless line", "1;" + strings.Repeat("x", maxChunkLine+1), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := bufio.NewReader(strings.NewReader(head + c.body + next))
			r, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, r.Body)
			rest, _ := io.ReadAll(reader)
			for _, size := range []int{1, 2, 7, 1 << 20} {
				body, ok := newRequestBody(r)
				n, least := 0, true
				for part := range slices.Chunk([]byte(c.body+next), size) {
					least = least && (body.broken || n+int(body.least()) <= len(c.body))
					n += body.pass(part)
				}
				if !ok || body.broken != c.broken || !c.broken && (err != nil || string(rest) != next || !body.ended() || n != len(c.body)) {
					t.Errorf("in parts of %d: got a body of %d bytes, broken %t, want %d, %t (server library: error %v, rest %q)", size, n, body.broken, len(c.body), c.broken, err, rest)
				}
				if !c.broken && !least {
					t.Errorf("in parts of %d: got more bytes that are surely of the body than it has", size)
				}
			}
		})
	}
}
