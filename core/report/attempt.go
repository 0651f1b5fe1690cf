package report

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Attempt is what the load tool records of one attempt of a request, as one
// line of its record file. Times are nanoseconds since the Unix epoch, read
// from one monotonic clock.
type Attempt struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Once      bool   `json:"once"`
	Probe     bool   `json:"probe,omitempty"`
	// Number is 1 for the first attempt of the request.
	Number int `json:"attempt"`
	// Final is set on the last attempt of the request.
	Final   bool   `json:"final"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// DueNs is when the schedule meant the request to be sent.
	DueNs  int64 `json:"due_ns"`
	SentNs int64 `json:"sent_ns"`
	EndNs  int64 `json:"end_ns"`
	Status int   `json:"status"`
	// BodyOK reports that the whole answer came and is the one asked for.
	BodyOK    bool   `json:"body_ok"`
	BodyID    string `json:"body_id"`
	BodyKey   string `json:"body_key"`
	Bytes     int64  `json:"bytes"`
	WantBytes int64  `json:"want_bytes"`
	Target    string `json:"target"`
	Epoch     uint64 `json:"epoch"`
	Host      string `json:"host"`
	// WorkNs is how long the target was asked to work on the request.
	WorkNs int64 `json:"work_ns"`
	// RetryAfterNs is when the answer told the caller to come back.
	RetryAfterNs int64 `json:"retry_after_ns,omitempty"`
}

// The outcomes of an attempt.
const (
	Done    = "done"
	NotRun  = "not-run"
	Unknown = "unknown"
)

// ReadAttempts calls visit for each line of a record file.
func ReadAttempts(source io.Reader, visit func(Attempt)) error {
	decoder := json.NewDecoder(bufio.NewReader(source))
	for line := 1; ; line++ {
		var attempt Attempt
		err := decoder.Decode(&attempt)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "read record, line %d", line)
		}
		visit(attempt)
	}
}
