package audit

// Record is one line of a caller's record file. It describes one attempt of a
// request as observed by the caller. SentNs and EndNs are wall time in
// nanoseconds since the Unix epoch.
type Record struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Key       string `json:"key"`
	Once      bool   `json:"once"`
	Attempt   int    `json:"attempt"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason,omitempty"`
	SentNs    int64  `json:"sent_ns"`
	EndNs     int64  `json:"end_ns"`
	Status    int    `json:"status,omitempty"`
	BodyOK    bool   `json:"body_ok"`
	BodyID    string `json:"body_id,omitempty"`
	BodyKey   string `json:"body_key,omitempty"`
	Bytes     int64  `json:"bytes"`
	WantBytes int64  `json:"want_bytes,omitempty"`
}

// The values of Record.Outcome.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)
