package load

import (
	"bytes"
	"encoding/json"

	"pineturn/core/report"
)

// prefixSize bounds the first line of an answer, in bytes.
const prefixSize = 4 << 10

// bodyReader reads an answer without keeping it: a line with a JSON object
// that names the request, then, in a large answer, lines of the request's id.
type bodyReader struct {
	filler  string
	first   []byte
	ended   bool
	foreign bool
	offset  int
	bytes   int64
}

func newBodyReader(id string) *bodyReader { return &bodyReader{filler: id + "\n"} }

// Write takes the next part of the body.
func (b *bodyReader) Write(part []byte) (int, error) {
	b.bytes += int64(len(part))
	rest := part
	if !b.ended {
		rest = b.firstLine(part)
	}
	for len(rest) > 0 && !b.foreign {
		want := b.filler[b.offset:min(len(b.filler), b.offset+len(rest))]
		b.foreign = string(rest[:len(want)]) != want
		b.offset = (b.offset + len(want)) % len(b.filler)
		rest = rest[len(want):]
	}
	return len(part), nil
}

// firstLine keeps the first line and returns what follows it.
func (b *bodyReader) firstLine(part []byte) []byte {
	end := bytes.IndexByte(part, '\n')
	b.ended = end >= 0
	if !b.ended {
		end = len(part) - 1
	}
	line, rest := part[:end+1], part[end+1:]
	b.first = append(b.first, line[:min(len(line), prefixSize-len(b.first))]...)
	return rest
}

// identity is what a target says of itself and of the request it answers.
type identity struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Target    string `json:"target"`
}

// check compares the answer with what the request asked for.
func (b *bodyReader) check(attempt *report.Attempt) {
	var told identity
	err := json.Unmarshal(b.first, &told)
	attempt.BodyID, attempt.BodyKey = told.RequestID, told.Key
	if attempt.Target == "" {
		attempt.Target = told.Target
	}
	sized := attempt.WantBytes == 0 || attempt.WantBytes == b.bytes
	attempt.BodyOK = err == nil && sized && !b.foreign && told.RequestID == attempt.ID &&
		told.Key == attempt.Key && told.Service == attempt.Service
}
