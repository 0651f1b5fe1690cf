// Package hostlink connects each host to the leader over WebSocket with CBOR. The
// host reports what it observes of its callers' requests, and the leader relays
// what it reads from the platform's store.
package hostlink

import (
	"context"
	"hash/maphash"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/peers"
	"pineturn/core/placement"
	"pineturn/core/poison"
	"pineturn/core/ratelimit"
	"pineturn/io/metastore"
	"pineturn/platform"
)

const (
	// path is the URL path at which a host accepts links.
	path = "/link"
	// dialTimeout bounds the dialing of a link together with the read of the hello
	// message.
	dialTimeout = 500 * time.Millisecond
	// writeTimeout bounds the write of one message.
	writeTimeout = time.Second
	// reportTimeout is the time without a report after which a link is closed.
	reportTimeout = 10 * time.Second
	// feedTimeout is the time without a feed message after which a link is closed. A
	// link that a network partition has cut may deliver nothing for long after the
	// partition has ended, while a new link works.
	feedTimeout = 2*maxFeedInterval + 300*time.Millisecond
	// maxReportBytes is the largest encoded report, in bytes.
	maxReportBytes = 1 << 20
	// maxFeedBytes is the largest encoded feed message, in bytes.
	maxFeedBytes = 16 << 20
	// feedInterval is the time between two feed messages without updates, before
	// feedIntervalPerLink is added.
	feedInterval = 300 * time.Millisecond
	// feedIntervalPerLink is the time that each link adds to feedInterval.
	feedIntervalPerLink = 4 * time.Millisecond
	// maxFeedInterval bounds the time between two feed messages. It is below the
	// age of watermarks up to which a host does not read from the store.
	maxFeedInterval = 600 * time.Millisecond
	// bufferSize is the size of a connection's read and write buffers, in bytes.
	bufferSize = 2 << 10
	// maxHeaderBytes limits the size of the header by which another host accepts a link.
	maxHeaderBytes = 16 << 10
)

// hello is the first message on a link. The host that accepted the link sends it.
type hello struct {
	// Incarnation is the incarnation of the host's process.
	Incarnation string `cbor:"1,keyasint"`
	// Age is the time since the process started.
	Age time.Duration `cbor:"2,keyasint"`
	// Epoch is the epoch of the latest leader that the host knows.
	Epoch int64 `cbor:"3,keyasint,omitempty"`
	// Leading reports whether the host is the leader, or awaits responses to grants
	// that it sent as the leader.
	Leading bool `cbor:"4,keyasint,omitempty"`
	// Owners is the record of the latest leader that the host knows, in response to a query
	// of a host that knows an earlier one only.
	Owners *platform.Record `cbor:"5,keyasint,omitempty"`
	// Unaccounted is set, beside Leading, once the host neither leads nor awaits responses to grants. It
	// names all grants that targets may still apply.
	Unaccounted []owner.UnaccountedGrant `cbor:"6,keyasint,omitempty"`
}

// Feed is what the sender has read from the store since its last feed.
type Feed struct {
	Updates []metastore.Update `cbor:"1,keyasint,omitempty"`
	// Watermarks are set only if the sender is the leader.
	Watermarks []metastore.Watermark `cbor:"2,keyasint,omitempty"`
	// Hosts is the number of linked hosts, including the sender.
	Hosts int `cbor:"3,keyasint,omitempty"`
	// Peers lists hosts of which the sender knows, or is empty if the list is the
	// same as in the last feed with one.
	Peers []peers.Host `cbor:"6,keyasint,omitempty"`
	// Limits are the limits of targets, with the receiver's part of each.
	Limits []ratelimit.Share `cbor:"7,keyasint,omitempty"`
	// LimitsContinue reports that the Limits of earlier feeds on the link still hold, but
	// for those of the same targets.
	LimitsContinue bool `cbor:"8,keyasint,omitempty"`
	// Departures are targets that have said that they leave, beyond those of earlier feeds
	// on the link.
	Departures []placement.Departure `cbor:"9,keyasint,omitempty"`
	// PeerChanges is what is new of the list of all hosts, in the place of Peers. The
	// receiver understands it.
	PeerChanges *peers.Changes `cbor:"20,keyasint,omitempty"`
	// Delay is the longest time that the feed can have been on its way. The receiver
	// sets it.
	Delay time.Duration `cbor:"-"`
}

// feedMessage is a feed with what the receiver needs to tell how long the message
// was on its way.
type feedMessage struct {
	Feed
	// Echo is the SentAt of the last report received, and EchoAge the time from its
	// receipt to the reading of the watermarks. Both are zero before the first one.
	Echo    time.Duration `cbor:"4,keyasint,omitempty"`
	EchoAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// reportMessage is a report with the time at which it was sent, by the sender's
// clock since the link was dialed.
type reportMessage struct {
	owner.Report
	SentAt time.Duration `cbor:"3,keyasint,omitempty"`
	// Owners is a record of the owners of keys that the other host may lack.
	Owners *platform.Record `cbor:"4,keyasint,omitempty"`
	// Self is the host that sends the report.
	Self *peers.Host `cbor:"6,keyasint,omitempty"`
	// Limits is what the host knows of the limits of targets.
	Limits []ratelimit.Observation `cbor:"7,keyasint,omitempty"`
	// FollowsLimits reports that the host understands LimitsContinue.
	FollowsLimits bool `cbor:"8,keyasint,omitempty"`
	// Unpacks reports that the host understands packed updates.
	Unpacks bool `cbor:"10,keyasint,omitempty"`
	// Departures are targets that have said to the host that they leave, beyond those of
	// earlier reports on the link.
	Departures []placement.Departure `cbor:"9,keyasint,omitempty"`
	// Lacks are topics of which the host asks for the newest records, because it can't read
	// them from the store.
	Lacks []string `cbor:"11,keyasint,omitempty"`
	// Poison is what the host has observed of requests that end targets, beyond that of earlier
	// reports on the link.
	Poison []poison.Event `cbor:"12,keyasint,omitempty"`
	// FollowsPeers reports that the host understands PeerChanges.
	FollowsPeers bool `cbor:"20,keyasint,omitempty"`
}

// echo is the time of the last report received on a link.
type echo struct {
	mu         sync.Mutex
	sentAt     time.Duration
	receivedAt time.Time
}

func (e *echo) set(sentAt time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sentAt, e.receivedAt = sentAt, now
}

func (e *echo) get(now time.Time) (sentAt, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sentAt == 0 {
		return 0, 0
	}
	return e.sentAt, now.Sub(e.receivedAt)
}

// Server accepts links of other hosts.
type Server struct {
	incarnation string
	clock       clock.Clock
	started     time.Time
	links       atomic.Int64
	linked      linkedHosts
	// Self returns this host as other hosts see it. It is set before use.
	Self func() peers.Host
	// HandleReport is called with each report. It is set before use.
	HandleReport func(owner.Report)
	// HandleOwners is called with each record of the owners of keys that another
	// host sends. It is set before use.
	HandleOwners func(platform.Record)
	// HandleLimits is called with what a host, by its address, knows of the limits of
	// targets. It is set before use.
	HandleLimits func(host string, known []ratelimit.Observation)
	// Limits returns what a host, by its address, is to know of the limits of targets
	// beyond what it has been told on its link. It is set before use.
	Limits func(host string, told *ratelimit.Told) ratelimit.Update
	// HandleDepartures is called with targets that have said to another host that they
	// leave. It is set before use.
	HandleDepartures func([]placement.Departure)
	// HandlePoison is called with what another host has observed of requests that end targets.
	// It is set before use.
	HandlePoison func([]poison.Event)
	// Departures returns the targets that have said that they leave, after the first n,
	// and the number of all. It is set before use.
	Departures func(n int) (departures []placement.Departure, count int)
	// Leadership returns the epoch of the latest leader that this host knows, and
	// whether this host may still send grants. It is set before use.
	Leadership func() (epoch int64, leading bool)
	// Unaccounted returns the grants of this host that targets may still apply, or nil unless these are all
	// that it can have at any target. It is set before use.
	Unaccounted func() []owner.UnaccountedGrant
	// Owners returns the record of the owners of keys that this host knows. It is set before
	// use.
	Owners func() (record platform.Record, ok bool)
	// Snapshot returns the newest records of a topic for a host that can't read them itself.
	// It is set before use.
	Snapshot func(ctx context.Context, topic string) (metastore.Update, error)
	// Subscribe returns a channel of what this host reads from now on, and a
	// function that returns the current watermarks, or nil if this host is not the
	// leader. It is set before use.
	Subscribe func() (updates <-chan metastore.Update, cancel func(), watermarks func() []metastore.Watermark)
}

// NewServer returns a server for the given incarnation of a host's process.
func NewServer(incarnation string, clk clock.Clock) *Server {
	return &Server{
		incarnation: incarnation, clock: clk, started: clk.Now(), Self: func() peers.Host { return peers.Host{} },
		HandleLimits: func(string, []ratelimit.Observation) {}, Limits: func(string, *ratelimit.Told) ratelimit.Update { return ratelimit.Update{} },
		HandlePoison:     func([]poison.Event) {},
		HandleDepartures: func([]placement.Departure) {}, Departures: func(int) ([]placement.Departure, int) { return nil, 0 },
		HandleReport: func(owner.Report) {}, HandleOwners: func(platform.Record) {}, Leadership: func() (int64, bool) { return 0, false },
		Unaccounted: func() []owner.UnaccountedGrant { return nil },
		Owners:      func() (platform.Record, bool) { return platform.Record{}, false },
		Snapshot:    func(context.Context, string) (metastore.Update, error) { return metastore.Update{}, errNoSnapshots },
	}
}

// Handler returns the HTTP handler that accepts links.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(path, s.serveLink)
	return mux
}

func (s *Server) serveLink(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		klog.InfoS("Failed to accept a host link", "from", r.RemoteAddr, "err", err)
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxReportBytes)
	if isQuery(r) {
		s.answerQuery(conn, r)
		return
	}
	if err := write(r.Context(), conn, s.hello()); err != nil {
		klog.InfoS("Failed to send the hello on a host link", "from", r.RemoteAddr, "err", err)
		return
	}
	s.links.Add(1)
	defer s.links.Add(-1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	feedsDone := make(chan struct{})
	last := &echo{}
	link := s.linked.open()
	defer s.linked.remove(link)
	snapshots := newSnapshotReader(s.Snapshot)
	go func() {
		defer close(feedsDone)
		s.sendFeeds(ctx, conn, last, link, snapshots.read)
	}()
	for {
		var message reportMessage
		if err := read(ctx, conn, reportTimeout, &message); err != nil {
			break
		}
		if message.Owners != nil {
			s.HandleOwners(*message.Owners)
			continue
		}
		last.set(message.SentAt, s.clock.Now())
		if message.Self != nil {
			s.linked.put(link, *message.Self)
		}
		s.linked.setFeatures(link, features{
			followsLimits: message.FollowsLimits, unpacks: message.Unpacks, followsPeers: message.FollowsPeers,
		})
		if len(message.Limits) > 0 {
			s.HandleLimits(s.linked.get(link).Address, message.Limits)
		}
		if len(message.Departures) > 0 {
			s.HandleDepartures(message.Departures)
		}
		if len(message.Poison) > 0 {
			s.HandlePoison(message.Poison)
		}
		snapshots.request(ctx, message.Lacks)
		s.HandleReport(message.Report)
	}
	cancel()
	<-feedsDone
}

func (s *Server) hello() hello {
	epoch, leading := s.Leadership()
	message := hello{Incarnation: s.incarnation, Age: s.clock.Now().Sub(s.started), Epoch: epoch, Leading: leading}
	if leading {
		message.Unaccounted = s.Unaccounted()
	}
	return message
}

// sendFeeds relays what this host reads until the link ends. It sends feeds without
// content as well, from which the other host sees that the link works.
func (s *Server) sendFeeds(ctx context.Context, conn *websocket.Conn, last *echo, link int, snapshots <-chan metastore.Update) {
	updates, cancel, watermarks := s.Subscribe()
	defer cancel()
	list := peerList{seed: maphash.MakeSeed()}
	limits := limitFeed{next: s.Limits}
	departures := 0
	peersRevision := int64(0)
	tick := time.NewTimer(feedInterval)
	defer tick.Stop()
	for {
		var message feedMessage
		var snapshot []metastore.Update
		select {
		case <-ctx.Done():
			return
		case u := <-snapshots:
			snapshot = append(snapshot, u)
		case u, ok := <-updates:
			if !ok {
				_ = conn.CloseNow()
				return
			}
			message.Updates = append(message.Updates, u)
		case <-tick.C:
		}
		tick.Reset(s.FeedInterval())
		// Records up to the watermarks must be in this message or an earlier one,
		// so the watermarks are taken before the queued updates.
		message.Echo, message.EchoAge = last.get(s.clock.Now())
		message.Watermarks = watermarks()
		message.Updates = slices.Concat(snapshot, s.linked.forHost(link, append(message.Updates, queuedUpdates(updates)...)))
		message.Hosts = s.Hosts()
		hosts, version := s.linked.all(s.Self())
		receiver := s.linked.get(link)
		if s.linked.features(link).followsPeers && len(hosts) > maxPeersPerFeed {
			message.PeerChanges, peersRevision = s.linked.changes(peersRevision)
			list = peerList{seed: list.seed}
		} else {
			message.Peers, peersRevision = list.next(hosts, version, receiver), 0
		}
		message.Limits, message.LimitsContinue = limits.update(receiver.Address, s.linked.features(link).followsLimits)
		message.Departures, departures = s.Departures(departures)
		if err := write(ctx, conn, message); err != nil {
			return
		}
	}
}

// FeedInterval returns the time between two feeds on a link without news.
func (s *Server) FeedInterval() time.Duration {
	return min(feedInterval+time.Duration(s.links.Load())*feedIntervalPerLink, maxFeedInterval)
}

// Hosts returns the number of linked hosts, including this one.
func (s *Server) Hosts() int { return int(s.links.Load()) + 1 }

// Peers returns the last Host of each open link and this host, by address.
func (s *Server) Peers() []peers.Host {
	hosts, _ := s.linked.all(s.Self())
	return slices.Clone(hosts)
}

// queuedUpdates returns the updates in the channel without waiting for more.
func queuedUpdates(updates <-chan metastore.Update) []metastore.Update {
	var all []metastore.Update
	for {
		select {
		case u, ok := <-updates:
			if !ok {
				return all
			}
			all = append(all, u)
		default:
			return all
		}
	}
}
