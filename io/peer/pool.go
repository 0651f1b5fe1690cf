package peer

import (
	"sync"
	"time"
)

// workerIdleTimeout is how long an idle worker waits for a task before it ends.
const workerIdleTimeout = 10 * time.Second

// workerPool runs tasks on a limited number of workers. Idle workers are kept
// for reuse for workerIdleTimeout.
type workerPool struct {
	limit int
	tasks chan func()

	mu      sync.Mutex
	workers int
	wg      sync.WaitGroup
	done    chan struct{}
}

// newWorkerPool returns a pool of at most limit workers.
func newWorkerPool(limit int) *workerPool {
	return &workerPool{limit: limit, tasks: make(chan func()), done: make(chan struct{})}
}

// tryRun passes a task to a worker. It returns false without waiting if all
// workers are busy.
func (p *workerPool) tryRun(task func()) bool {
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

// work runs the first task and then further tasks until the worker has been
// idle for workerIdleTimeout or the pool is closed.
func (p *workerPool) work(task func()) {
	defer p.workerDone()
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		task()
		idle.Reset(workerIdleTimeout)
		select {
		case task = <-p.tasks:
		case <-idle.C:
			return
		case <-p.done:
			return
		}
	}
}

// workerDone decrements the number of workers.
func (p *workerPool) workerDone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers--
}

// close ends the workers after their current tasks. It returns
// errHandlersRunning if tasks are still running after timeout.
func (p *workerPool) close(timeout time.Duration) error {
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
		return errHandlersRunning
	}
}
