package owner

import (
	"fmt"
	"testing"
	"time"
)

// TestRecordSize bounds the size of the record, which is sent to every host on
// each change.
func TestRecordSize(t *testing.T) {
	const targets, mostBytes = 112, 4 << 10
	l := NewLeader(&Assignment{Epoch: 1}, MaxLeaseDuration, time.Unix(0, 0))
	live := make(map[string]Target)
	for i := range targets {
		id := fmt.Sprintf("i-%010x", i*7919)
		live[id] = Target{Incarnation: Incarnation{Target: id}, Service: "records", Slots: 2}
	}
	l.Assign("records", live, NewLoads(time.Unix(0, 0)), time.Unix(0, 0))
	data, err := l.Record().Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got := len(data); got > mostBytes {
		t.Errorf("record of %d targets: got %d bytes, want at most %d", targets, got, mostBytes)
	}
	t.Logf("record of %d targets: %d bytes", targets, len(data))
}
