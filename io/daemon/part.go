package daemon

import (
	"context"
	"time"
)

// part owns one goroutine. Close ends it and waits until it has ended.
type part struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// start runs a part until its context ends.
func start(run func(ctx context.Context)) *part {
	ctx, cancel := context.WithCancel(context.Background())
	p := &part{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		run(ctx)
	}()
	return p
}

// Close ends the part.
func (p *part) Close() {
	p.cancel()
	<-p.done
}

// every calls step at each interval, and whenever wake is signalled, until
// ctx ends.
func every(ctx context.Context, interval time.Duration, wake <-chan struct{}, step func(ctx context.Context)) {
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

// signal wakes the receiver of a channel with room for one signal.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
