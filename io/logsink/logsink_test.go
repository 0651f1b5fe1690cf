package logsink

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// blockedOutput blocks all writes until unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	data    bytes.Buffer
}

func (o *blockedOutput) Write(line []byte) (int, error) {
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(line)
}

func TestSinkNeverBlocks(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	sink := New(out)
	const lines = 10 * maxQueuedLines
	start := time.Now()
	for range lines {
		_, _ = sink.Write([]byte("line\n"))
	}
	if got := time.Since(start); got > time.Second {
		t.Errorf("writes to a blocked output: got %v, want under 1 s", got)
	}
	close(out.unblock)
	sink.Close()
	written := int64(bytes.Count(out.data.Bytes(), []byte("\n")))
	if got := written + sink.Dropped(); got != lines {
		t.Errorf("lines written and dropped: got %d, want %d", got, lines)
	}
}

func TestRateLimiter(t *testing.T) {
	limiter := NewRateLimiter(5)
	allowed := 0
	for range 20 {
		if limiter.Allow() {
			allowed++
		}
	}
	if allowed != 5 {
		t.Errorf("lines allowed at once: got %d, want 5", allowed)
	}
	if got := limiter.Dropped(); got != 15 {
		t.Errorf("lines dropped: got %d, want 15", got)
	}
}
