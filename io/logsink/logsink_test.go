package logsink

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// slowOutput takes no line until it is opened.
type slowOutput struct {
	open chan struct{}
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *slowOutput) Write(line []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(line)
}

func TestSinkNeverBlocks(t *testing.T) {
	out := &slowOutput{open: make(chan struct{})}
	sink := New(out)
	const lines = 10 * queueLines
	began := time.Now()
	for range lines {
		_, _ = sink.Write([]byte("line\n"))
	}
	if got := time.Since(began); got > time.Second {
		t.Errorf("writes to a blocked output: got %v, want under 1 s", got)
	}
	close(out.open)
	sink.Close()
	written := int64(bytes.Count(out.data.Bytes(), []byte("\n")))
	if got := written + sink.Dropped(); got != lines {
		t.Errorf("lines written and dropped: got %d, want %d", got, lines)
	}
}

func TestLimits(t *testing.T) {
	limits := NewRateLimiter(5)
	allowed := 0
	for range 20 {
		if limits.Allow() {
			allowed++
		}
	}
	if allowed != 5 {
		t.Errorf("lines allowed at once: got %d, want 5", allowed)
	}
	if got := limits.Dropped(); got != 15 {
		t.Errorf("lines dropped: got %d, want 15", got)
	}
}
