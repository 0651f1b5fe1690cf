package target

import (
	"encoding/json"
	"io"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/audit"
)

// auditLog is the destination of the audit entries. After a failed write,
// failed is set, so that only the first failure is logged.
type auditLog struct {
	writer io.Writer
	failed bool
}

// entryContent sets the fields of an entry that depend on its kind.
type entryContent func(*audit.Entry)

func startedEntry(entry *audit.Entry) { entry.Kind = audit.Started }

func stoppedEntry(entry *audit.Entry) { entry.Kind = audit.Stopped }

func entryOfKind(kind audit.Kind) entryContent {
	return func(entry *audit.Entry) { entry.Kind = kind }
}

func grantEntry(kind audit.Kind, grant audit.Grant) entryContent {
	return func(entry *audit.Entry) { entry.Kind, entry.Grant = kind, &grant }
}

func requestEntry(kind audit.Kind, request audit.Request) entryContent {
	return func(entry *audit.Entry) { entry.Kind, entry.Request = kind, &request }
}

// record writes one audit entry as a line, in one write. The time at is by the
// target's clock. The caller holds mu.
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
		_, err = t.auditOut.writer.Write(append(line, '\n'))
	}
	if err != nil && !t.auditOut.failed {
		t.auditOut.failed = true
		klog.ErrorS(err, "Failed to write an audit entry, the audit is incomplete", "target", t.name)
	}
}
