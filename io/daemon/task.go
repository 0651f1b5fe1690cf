package daemon

import (
	"context"
	"time"
)

// task is a running goroutine.
type task struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// startTask calls run in a new goroutine. The context of run is canceled by Close.
func startTask(run func(ctx context.Context)) *task {
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		run(ctx)
	}()
	return t
}

// Close cancels the context of the task and waits until the task has returned.
func (t *task) Close() {
	t.cancel()
	<-t.done
}

// runEvery calls step at each interval, and whenever wake receives a value,
// until ctx is done.
func runEvery(ctx context.Context, interval time.Duration, wake <-chan struct{}, step func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		step(ctx)
	}
}

// signal sends to a channel with a buffer of one without blocking. It does
// nothing if a value is already pending.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
