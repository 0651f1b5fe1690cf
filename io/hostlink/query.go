package hostlink

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/peers"
	"pineturn/platform"
)

const (
	// queryParameter holds the epoch of the latest leader that the querying host knows. A
	// link with it is a query: it ends after the hello.
	queryParameter = "after"
	// minQueryInterval is the time between the first two queries of a host that has lost the
	// leader. It doubles with each further query, up to maxQueryInterval.
	minQueryInterval = 300 * time.Millisecond
	maxQueryInterval = 2 * time.Second
)

func isQuery(r *http.Request) bool { return r.URL.Query().Has(queryParameter) }

// answerQuery sends a hello, with the record of the latest leader if the other host knows an
// earlier one only.
func (s *Server) answerQuery(conn *websocket.Conn, r *http.Request) {
	message := s.hello()
	after, err := strconv.ParseInt(r.URL.Query().Get(queryParameter), 10, 64)
	if err != nil {
		klog.InfoS("Query for the leader is invalid", "from", r.RemoteAddr, "err", err)
		return
	}
	if record, ok := s.Owners(); ok && message.Epoch > after {
		message.Owners = &record
	}
	if err := write(r.Context(), conn, message); err != nil {
		klog.InfoS("Failed to answer a query for the leader", "from", r.RemoteAddr, "err", err)
	}
}

// queryOwners asks the host at an address for the record of a leader after the given epoch. It
// returns nil if that host knows of none.
func queryOwners(ctx context.Context, address string, epoch int64, clk clock.Clock) (*platform.Record, error) {
	link, err := dial(ctx, address, "?"+queryParameter+"="+strconv.FormatInt(epoch, 10), clk)
	if err != nil {
		return nil, errors.Wrap(err, "query for the leader")
	}
	defer link.Close()
	return link.hello.Owners, nil
}

// Finder asks other hosts who leads while this host can learn of a new leader neither from the
// store nor from the leader that it knows. Its function fields are set before Run.
type Finder struct {
	// Lost reports whether this host may have missed a change of leader.
	Lost func() bool
	// Epoch returns the epoch of the latest leader that this host knows.
	Epoch func() int64
	// Hosts returns the other hosts that this host knows.
	Hosts func() []peers.Host
	// HandleOwners is called with each record that another host knows and this one does not.
	HandleOwners func(platform.Record)

	clock clock.Clock
	// interval is the time from the last query to the next one, or zero before the first one.
	interval  time.Duration
	queriedAt time.Time
	done      chan struct{}
}

// NewFinder returns a finder.
func NewFinder(clk clock.Clock) *Finder {
	return &Finder{clock: clk, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (f *Finder) Done() <-chan struct{} { return f.done }

// Run asks until the context ends.
func (f *Finder) Run(ctx context.Context) {
	defer close(f.done)
	tick := time.NewTicker(linkPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if f.due() {
				f.query(ctx)
			}
		}
	}
}

// due reports whether a query is due.
func (f *Finder) due() bool {
	if !f.Lost() {
		f.interval = 0
		return false
	}
	now := f.clock.Now()
	if now.Sub(f.queriedAt) < f.interval {
		return false
	}
	f.queriedAt, f.interval = now, min(max(2*f.interval, minQueryInterval), maxQueryInterval)
	return true
}

// query asks one of the other hosts.
func (f *Finder) query(ctx context.Context) {
	hosts := f.Hosts()
	if len(hosts) == 0 {
		return
	}
	address := hosts[rand.IntN(len(hosts))].Address
	record, err := queryOwners(ctx, address, f.Epoch(), f.clock)
	if err != nil {
		klog.V(1).InfoS("Failed to ask a host for the leader", "address", address, "err", err)
		return
	}
	if record != nil {
		klog.InfoS("Another host knows a later leader", "address", address, "epochHere", f.Epoch())
		f.HandleOwners(*record)
	}
}
