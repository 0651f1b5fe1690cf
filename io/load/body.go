package load

import (
	"bytes"
	"encoding/json"

	"pineturn/core/report"
)

// prefixSize is how much of an answer's start is kept, in bytes.
const prefixSize = 4 << 10

// bodyReader counts the bytes of an answer and keeps their start, which
// holds the JSON object that names the request.
type bodyReader struct {
	prefix []byte
	bytes  int64
}

// Write takes the next part of the body.
func (b *bodyReader) Write(part []byte) (int, error) {
	if room := prefixSize - len(b.prefix); room > 0 {
		b.prefix = append(b.prefix, part[:min(room, len(part))]...)
	}
	b.bytes += int64(len(part))
	return len(part), nil
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
	err := json.NewDecoder(bytes.NewReader(b.prefix)).Decode(&told)
	attempt.BodyID, attempt.BodyKey = told.RequestID, told.Key
	if attempt.Target == "" {
		attempt.Target = told.Target
	}
	sized := attempt.WantBytes == 0 || attempt.WantBytes == b.bytes
	attempt.BodyOK = err == nil && sized && told.RequestID == attempt.ID &&
		told.Key == attempt.Key && told.Service == attempt.Service
}
