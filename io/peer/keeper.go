package peer

import (
	"sync"
	"time"
)

// stepsPerPing is how often a connection is looked at for each ping interval.
const stepsPerPing = 5

// keepState is what the keeper remembers of a connection. Only the keeper
// uses it.
type keepState struct {
	received int64 // bytes received when last looked at
	asked    int64 // questions asked when last looked at
	// owed is set while the other host owes a sign of life: something is in
	// flight, or nothing came since a question that was given up.
	owed bool
	// quiet is how long nothing came while a sign of life was owed.
	quiet     time.Duration
	sincePing time.Duration
	idle      time.Duration
}

// keeper looks after the connections of one Client or Server: pings, silence,
// idleness, and the publishing of counts.
type keeper struct {
	options *Options
	// idle closes unused connections when set.
	idle bool

	mu    sync.Mutex
	conns map[*conn]struct{}

	done chan struct{}
	wg   sync.WaitGroup
}

// newKeeper starts a keeper.
func newKeeper(options *Options, idle bool) *keeper {
	k := &keeper{
		options: options,
		idle:    idle,
		conns:   make(map[*conn]struct{}),
		done:    make(chan struct{}),
	}
	k.wg.Go(k.run)
	return k
}

// add takes a connection into care.
func (k *keeper) add(c *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns[c] = struct{}{}
}

// remove ends the care for a connection.
func (k *keeper) remove(c *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
	var last sums
	last.add(c)
	last.publish(k.options.Metrics)
}

// close stops the keeper.
func (k *keeper) close() {
	close(k.done)
	k.wg.Wait()
}

// run looks at every connection a few times an interval.
func (k *keeper) run() {
	ticker := time.NewTicker(max(k.options.KeepaliveInterval/stepsPerPing, time.Millisecond))
	defer ticker.Stop()
	last := k.options.Clock.Now()
	for {
		select {
		case <-k.done:
			return
		case <-ticker.C:
		}
		now := k.options.Clock.Now()
		k.sweep(quietStep(now.Sub(last), k.options.KeepaliveInterval))
		last = now
	}
}

// sweep looks at every connection after a step of time.
func (k *keeper) sweep(step time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var came sums
	for c := range k.conns {
		came.add(c)
		k.look(c, step)
	}
	came.publish(k.options.Metrics)
}

// look pings one connection, or ends it when it is silent or idle.
func (k *keeper) look(c *conn, step time.Duration) {
	state := &c.keep
	if heard := state.update(c); heard {
		state.quiet = 0
	} else {
		state.quiet += step
	}
	if !state.owed {
		k.rest(c, step)
		return
	}
	state.idle = 0
	if state.quiet > k.options.SilenceTimeout {
		k.options.Metrics.Silent.With("plane", c.plane.String()).Add(1)
		c.fail(ErrSilent)
		return
	}
	state.sincePing += step
	if state.sincePing >= k.options.KeepaliveInterval {
		state.sincePing = 0
		c.sendUrgent(&frame{Kind: kindPing})
	}
}

// update takes in what a connection has done since the last look. It reports
// whether anything came.
func (s *keepState) update(c *conn) (heard bool) {
	received, asked := c.tally.bytesIn.total.Load(), c.asked.Load()
	heard = received != s.received
	busy := c.busy.Load() > 0
	switch {
	case heard:
		s.owed = busy
	case busy || asked != s.asked:
		s.owed = true
	}
	s.received, s.asked = received, asked
	return heard
}

// rest counts how long a connection has been unused, and closes it in the end.
func (k *keeper) rest(c *conn, step time.Duration) {
	state := &c.keep
	state.quiet = 0
	// The first ping goes out as soon as there is traffic.
	state.sincePing = k.options.KeepaliveInterval
	state.idle += step
	unused := k.idle && state.idle >= k.options.IdleTimeout
	if unused || c.draining.Load() && k.idle {
		c.fail(errIdle)
	}
}
