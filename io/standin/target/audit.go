package target

import (
	"encoding/json"
	"io"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/audit"
)

// auditLog writes audit entries, one write a line.
type auditLog struct {
	writer io.Writer
	failed bool
}

// entryContent fills in what is particular to an entry.
type entryContent func(*audit.Entry)

func startedEntry(entry *audit.Entry) { entry.Kind = audit.Started }

func stoppedEntry(entry *audit.Entry) { entry.Kind = audit.Stopped }

func kindEntry(kind audit.Kind) entryContent {
	return func(entry *audit.Entry) { entry.Kind = kind }
}

func grantEntry(kind audit.Kind, grant audit.Grant) entryContent {
	return func(entry *audit.Entry) { entry.Kind, entry.Grant = kind, &grant }
}

func requestEntry(kind audit.Kind, request audit.Request) entryContent {
	return func(entry *audit.Entry) { entry.Kind, entry.Request = kind, &request }
}

// record writes one entry for the instant at of the target's clock. The
// caller holds mu.
func (t *Target) record(content entryContent, at time.Duration) {
	entry := audit.Entry{
		WallNs:      t.start.Add(at).UnixNano(),
		ClockUs:     at.Microseconds(),
		Service:     t.service,
		Target:      t.name,
		Incarnation: t.incarnation,
	}
	content(&entry)
	line, err := json.Marshal(entry)
	if err == nil {
		_, err = t.audited.writer.Write(append(line, '\n'))
	}
	if err != nil && !t.audited.failed {
		t.audited.failed = true
		klog.ErrorS(err, "Audit is incomplete", "target", t.name)
	}
}
