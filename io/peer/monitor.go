package peer

import (
	"sync"
	"time"
)

// checksPerKeepalive is the number of checks of a connection per keepalive
// interval.
const checksPerKeepalive = 5

// monitorState is the state of a connection that the monitor keeps between
// checks. It is accessed only by the monitor.
type monitorState struct {
	received int64 // bytes received at the previous check
	sent     int64 // calls and requests sent at the previous check
	// dataExpected is set if data from the other host is expected: a call or
	// request is in flight, or one was sent and has ended, such as at its deadline,
	// and no data has been received since.
	dataExpected bool
	// silence is the time without received data while data was expected.
	silence   time.Duration
	sincePing time.Duration
	idle      time.Duration
}

// connMonitor monitors the connections of a Client or Server. It sends pings,
// closes silent and idle connections, and publishes traffic metrics.
type connMonitor struct {
	options *Options
	// closeIdle enables the closing of idle connections.
	closeIdle bool

	mu    sync.Mutex
	conns map[*conn]struct{}

	done chan struct{}
	wg   sync.WaitGroup
}

// newConnMonitor starts a monitor.
func newConnMonitor(options *Options, closeIdle bool) *connMonitor {
	m := &connMonitor{
		options:   options,
		closeIdle: closeIdle,
		conns:     make(map[*conn]struct{}),
		done:      make(chan struct{}),
	}
	m.wg.Go(m.run)
	return m
}

// add starts monitoring a connection.
func (m *connMonitor) add(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[c] = struct{}{}
}

// remove stops monitoring a connection and publishes its remaining traffic.
func (m *connMonitor) remove(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
	var totals planeTotals
	totals.add(c)
	totals.publish(m.options.Metrics)
}

// close stops the monitor.
func (m *connMonitor) close() {
	close(m.done)
	m.wg.Wait()
}

// run checks all connections several times per keepalive interval.
func (m *connMonitor) run() {
	ticker := time.NewTicker(max(m.options.KeepaliveInterval/checksPerKeepalive, time.Millisecond))
	defer ticker.Stop()
	last := m.options.Clock.Now()
	for {
		select {
		case <-m.done:
			return
		case <-ticker.C:
		}
		now := m.options.Clock.Now()
		m.checkAll(cappedStep(now.Sub(last), m.options.KeepaliveInterval))
		last = now
	}
}

// checkAll checks all connections and publishes their traffic. The argument
// step is the time since the previous check, limited by cappedStep.
func (m *connMonitor) checkAll(step time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var totals planeTotals
	for c := range m.conns {
		totals.add(c)
		m.check(c, step)
	}
	totals.publish(m.options.Metrics)
}

// check sends a ping if one is due, or closes the connection if it is silent or
// idle.
func (m *connMonitor) check(c *conn, step time.Duration) {
	state := &c.monitored
	if dataReceived := state.update(c); dataReceived {
		state.silence = 0
	} else {
		state.silence += step
	}
	if !state.dataExpected {
		m.checkIdle(c, step)
		return
	}
	state.idle = 0
	if state.silence > m.options.SilenceTimeout {
		m.options.Metrics.Silent.With("plane", c.plane.String()).Add(1)
		c.fail(ErrSilent)
		return
	}
	state.sincePing += step
	if state.sincePing >= m.options.KeepaliveInterval {
		state.sincePing = 0
		c.sendUrgent(&frame{Kind: kindPing})
	}
}

// update records the activity of a connection since the previous check. It
// reports whether data was received.
func (s *monitorState) update(c *conn) (dataReceived bool) {
	received, sent := c.traffic.bytesIn.total.Load(), c.sent.Load()
	dataReceived = received != s.received
	inFlight := c.inFlight.Load() > 0
	switch {
	case dataReceived:
		s.dataExpected = inFlight
	case inFlight || sent != s.sent:
		s.dataExpected = true
	}
	s.received, s.sent = received, sent
	return dataReceived
}

// checkIdle records how long a connection has been unused, and closes it after
// the idle timeout or if the server is shutting down.
func (m *connMonitor) checkIdle(c *conn, step time.Duration) {
	state := &c.monitored
	state.silence = 0
	// The first ping is sent as soon as there is traffic.
	state.sincePing = m.options.KeepaliveInterval
	state.idle += step
	unused := m.closeIdle && state.idle >= m.options.IdleTimeout
	if unused || c.goingAway.Load() && m.closeIdle {
		c.fail(errIdle)
	}
}
