package daemon

import (
	"context"

	"k8s.io/klog/v2"

	"pineturn/core/host"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/io/hostlist"
)

// hostListWatcher polls the platform's host list. While this host has no state,
// hostListWatcher fetches the state from a listed host, in case the log is not
// available.
type hostListWatcher struct {
	host        *host.Host
	client      *hostlist.Client
	heartbeater *heartbeater
	leave       func()
	// earliest returns the lowest offset from which a state can still be continued
	// from the log.
	earliest func() uint64
	// failed is set if the latest read of the list failed.
	failed bool
}

// run reads the list until ctx is done.
func (w *hostListWatcher) run(ctx context.Context) {
	w.read(ctx)
	runEvery(ctx, hostListInterval, nil, w.read)
}

func (w *hostListWatcher) read(ctx context.Context) {
	timed, cancel := context.WithTimeout(ctx, hostListTimeout)
	hosts, err := w.client.Hosts(timed)
	cancel()
	if (err != nil) != w.failed {
		w.failed = err != nil
		klog.InfoS("Availability of the host list changed", "up", err == nil)
	}
	if err != nil {
		return
	}
	w.applyList(hosts)
	if !w.host.Ready() {
		w.bootstrap(ctx, hosts)
	}
}

// applyList records which hosts are listed, and requests a graceful stop if the
// platform lists this host as leaving.
func (w *hostListWatcher) applyList(hosts []hostlist.Host) {
	listed := map[string]bool{}
	for _, entry := range hosts {
		listed[entry.Name] = true
		if entry.Name == w.host.Self().Incarnation.Host && entry.Leaving() {
			w.leave()
		}
	}
	w.host.OnHostList(listed)
}

// bootstrap fetches the state from the first listed host that is ready.
func (w *hostListWatcher) bootstrap(ctx context.Context, hosts []hostlist.Host) {
	self := w.host.Self()
	for _, entry := range hosts {
		if entry.Name == self.Incarnation.Host || w.host.Ready() {
			continue
		}
		from := record.Member{Incarnation: record.Incarnation{Host: entry.Name}, Address: entry.Address, Domain: entry.Domain}
		if !w.catchUpWith(ctx, from) {
			continue
		}
		w.host.MarkReady()
		klog.InfoS("Fetched the state from another host", "from", entry.Name, "next", w.host.Next())
	}
}

// catchUpWith fetches records until this host has folded all records that a ready
// host has folded. It returns false if that fails, or if the resulting state is
// behind the retention of the log.
func (w *hostListWatcher) catchUpWith(ctx context.Context, from record.Member) bool {
	for ctx.Err() == nil {
		pong, ok := w.ping(ctx, from)
		if !ok || !pong.Ready {
			return false
		}
		if next := w.host.Next(); next >= pong.Next {
			return next >= w.earliest()
		}
		if err := w.heartbeater.fetch(ctx, from); err != nil {
			return false
		}
	}
	return false
}

func (w *hostListWatcher) ping(ctx context.Context, to record.Member) (message.Pong, bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := w.heartbeater.call(ctx, to, &message.Call{Ping: &message.Ping{Next: w.host.Next()}})
	if err != nil || reply.Ping == nil {
		return message.Pong{}, false
	}
	return *reply.Ping, true
}
