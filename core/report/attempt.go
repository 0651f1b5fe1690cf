package report

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Attempt is one attempt of a request, and one line of the record file of the
// load tool. Times are nanoseconds since the Unix epoch; all are derived from the
// same monotonic clock.
type Attempt struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Once      bool   `json:"once"`
	Probe     bool   `json:"probe,omitempty"`
	// Number is the number of the attempt within the request, from 1.
	Number int `json:"attempt"`
	// Final is set for the last attempt of the request.
	Final   bool   `json:"final"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// DueNs is the scheduled send time of the request.
	DueNs  int64 `json:"due_ns"`
	SentNs int64 `json:"sent_ns"`
	EndNs  int64 `json:"end_ns"`
	Status int   `json:"status"`
	// BodyOK is set if the response is complete and is the response to this
	// request.
	BodyOK    bool   `json:"body_ok"`
	BodyID    string `json:"body_id"`
	BodyKey   string `json:"body_key"`
	Bytes     int64  `json:"bytes"`
	WantBytes int64  `json:"want_bytes"`
	Target    string `json:"target"`
	Epoch     uint64 `json:"epoch"`
	Host      string `json:"host"`
	// WorkNs is the service time that the request asked of the target, in
	// nanoseconds.
	WorkNs int64 `json:"work_ns"`
	// RetryAfterNs is the delay in nanoseconds after which, according to the
	// response, the caller should retry.
	RetryAfterNs int64 `json:"retry_after_ns,omitempty"`
}

// The values of Attempt.Outcome.
const (
	Done    = "done"
	NotRun  = "not-run"
	Unknown = "unknown"
)

// ReadAttempts calls visit for each attempt of a record file. It returns an error
// for a malformed line.
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
