package listener

import (
	"net/http"
	"strconv"
	"strings"
)

// requestBody tells where the body of a request ends, of which part after part is seen.
type requestBody struct {
	// left is the number of bytes to the end of the body, or of the current chunk with the end of its line.
	left int64
	// chunked is set while lines of a chunked body follow what is left. line holds what was seen of the
	// current one.
	chunked bool
	line    []byte
	// trailer is set after the last chunk.
	trailer bool
	// broken is set once the end can't be told for sure.
	broken bool
}

// maxChunkLine is the size of a line between chunks, in bytes, up to which it is looked at.
const maxChunkLine = 4 << 10

// lastChunkSize is the number of bytes of the shortest end of a chunked body: "0", and the ends of two lines.
const lastChunkSize = 5

// newRequestBody returns the body that follows a head. It returns false if its end can't be told.
func newRequestBody(r *http.Request) (requestBody, bool) {
	if r.ContentLength >= 0 {
		return requestBody{left: r.ContentLength}, true
	}
	return requestBody{chunked: true}, len(r.TransferEncoding) == 1 && r.TransferEncoding[0] == "chunked"
}

// ended reports whether the whole body was seen.
func (b *requestBody) ended() bool { return b.left == 0 && !b.chunked && !b.broken }

// least returns the number of bytes that belong to the rest of the body for sure.
func (b *requestBody) least() int64 {
	switch {
	case !b.chunked:
		return b.left
	case b.left > 0:
		return b.left + lastChunkSize
	case b.trailer:
		return int64(max(len("\r\n")-len(b.line), 1))
	}
	return int64(max(lastChunkSize-len(b.line), 1))
}

// pass sees data, and returns how many of its bytes belong to the body.
func (b *requestBody) pass(data []byte) int {
	n := 0
	for n < len(data) && !b.ended() && !b.broken {
		if b.left > 0 {
			part := min(b.left, int64(len(data)-n))
			b.left -= part
			n += int(part)
			continue
		}
		b.passLine(data[n])
		n++
	}
	return n
}

// passLine sees one byte of a line.
func (b *requestBody) passLine(c byte) {
	b.line = append(b.line, c)
	if c != '\n' {
		b.broken = len(b.line) > maxChunkLine
		return
	}
	line, ok := strings.CutSuffix(string(b.line), "\r\n")
	b.line = b.line[:0]
	switch {
	case !ok:
		b.broken = true
	case b.trailer:
		b.chunked = line != ""
	default:
		b.beginChunk(line)
	}
}

// beginChunk begins the chunk whose size a line states.
func (b *requestBody) beginChunk(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(size, 16, 32)
	switch {
	case err != nil:
		b.broken = true
	case n == 0:
		b.trailer = true
	default:
		b.left = int64(n) + int64(len("\r\n"))
	}
}
