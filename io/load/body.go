package load

import (
	"bytes"
	"encoding/json"

	"pineturn/core/report"
)

// maxFirstLine is the maximum number of bytes kept of the first line of a
// response body.
const maxFirstLine = 4 << 10

// bodyVerifier verifies a response body as a stream, without buffering it. The
// body is a line with a JSON object that identifies the request, followed, in a
// large response, by lines that repeat the request id.
type bodyVerifier struct {
	repeatedLine      string
	firstLine         []byte
	firstLineComplete bool
	mismatch          bool
	offset            int
	bytes             int64
}

func newBodyVerifier(id string) *bodyVerifier { return &bodyVerifier{repeatedLine: id + "\n"} }

// Write verifies the next chunk of the body. It never returns an error.
func (b *bodyVerifier) Write(chunk []byte) (int, error) {
	b.bytes += int64(len(chunk))
	rest := chunk
	if !b.firstLineComplete {
		rest = b.readFirstLine(chunk)
	}
	for len(rest) > 0 && !b.mismatch {
		want := b.repeatedLine[b.offset:min(len(b.repeatedLine), b.offset+len(rest))]
		b.mismatch = string(rest[:len(want)]) != want
		b.offset = (b.offset + len(want)) % len(b.repeatedLine)
		rest = rest[len(want):]
	}
	return len(chunk), nil
}

// readFirstLine appends the part of chunk that belongs to the first line to the
// buffer, up to maxFirstLine, and returns the rest of chunk.
func (b *bodyVerifier) readFirstLine(chunk []byte) []byte {
	end := bytes.IndexByte(chunk, '\n')
	b.firstLineComplete = end >= 0
	if !b.firstLineComplete {
		end = len(chunk) - 1
	}
	line, rest := chunk[:end+1], chunk[end+1:]
	b.firstLine = append(b.firstLine, line[:min(len(line), maxFirstLine-len(b.firstLine))]...)
	return rest
}

// identity is the JSON object on the first line of a response. It identifies the
// target and the request.
type identity struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Target    string `json:"target"`
}

// check compares the body with the request of attempt and sets the body fields
// of attempt.
func (b *bodyVerifier) check(attempt *report.Attempt) {
	var received identity
	err := json.Unmarshal(b.firstLine, &received)
	attempt.BodyID, attempt.BodyKey = received.RequestID, received.Key
	if attempt.Target == "" {
		attempt.Target = received.Target
	}
	sizeOK := attempt.WantBytes == 0 || attempt.WantBytes == b.bytes
	attempt.BodyOK = err == nil && sizeOK && !b.mismatch && received.RequestID == attempt.ID &&
		received.Key == attempt.Key && received.Service == attempt.Service
}
