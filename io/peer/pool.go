package peer

import (
	"sync"
	"time"
)

// workerIdle is how long a worker waits for more work before it ends.
const workerIdle = 10 * time.Second

// pool runs tasks on a bounded number of workers, which are kept for a while.
type pool struct {
	limit int
	tasks chan func()

	mu      sync.Mutex
	workers int
	wg      sync.WaitGroup
	done    chan struct{}
}

// newPool returns a pool of at most limit workers.
func newPool(limit int) *pool {
	return &pool{limit: limit, tasks: make(chan func()), done: make(chan struct{})}
}

// run hands a task to a worker. It reports false, at once, when all are busy.
func (p *pool) run(task func()) bool {
	select {
	case p.tasks <- task:
		return true
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers >= p.limit {
		return false
	}
	p.workers++
	p.wg.Go(func() { p.work(task) })
	return true
}

// work runs a first task and then those that come.
func (p *pool) work(task func()) {
	defer p.leave()
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		task()
		idle.Reset(workerIdle)
		select {
		case task = <-p.tasks:
		case <-idle.C:
			return
		case <-p.done:
			return
		}
	}
}

// leave counts a worker out.
func (p *pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers--
}

// close ends the workers once their tasks have ended. It waits no longer than
// a timeout for tasks that don't end.
func (p *pool) close(timeout time.Duration) error {
	close(p.done)
	ended := make(chan struct{})
	go func() {
		p.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-time.After(timeout):
		return errStuck
	}
}
