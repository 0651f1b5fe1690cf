package daemon

import (
	"context"

	"k8s.io/klog/v2"

	"pineturn/core/host"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/io/hostlist"
)

// lister follows the platform's host list. A host that knows no state yet
// takes one from a listed host when the log gives none.
type lister struct {
	host   *host.Host
	client *hostlist.Client
	beater *beater
	leave  func()
	// floor is the lowest state that the log can still continue.
	floor  func() uint64
	failed bool
}

// run reads the list until ctx ends.
func (l *lister) run(ctx context.Context) {
	l.read(ctx)
	every(ctx, listInterval, nil, l.read)
}

func (l *lister) read(ctx context.Context) {
	timed, cancel := context.WithTimeout(ctx, listTimeout)
	hosts, err := l.client.Hosts(timed)
	cancel()
	if (err != nil) != l.failed {
		l.failed = err != nil
		klog.InfoS("Host list changed state", "up", err == nil)
	}
	if err != nil {
		return
	}
	l.take(hosts)
	if !l.host.Ready() {
		l.bootstrap(ctx, hosts)
	}
}

// take notes which hosts are listed, and leaves when the platform says so.
func (l *lister) take(hosts []hostlist.Host) {
	listed := map[string]bool{}
	for _, one := range hosts {
		listed[one.Name] = true
		if one.Name == l.host.Self().Incarnation.Host && one.Leaving() {
			l.leave()
		}
	}
	l.host.OnHostList(listed)
}

// bootstrap takes the state of the first listed host that is ready.
func (l *lister) bootstrap(ctx context.Context, hosts []hostlist.Host) {
	self := l.host.Self()
	for _, one := range hosts {
		if one.Name == self.Incarnation.Host || l.host.Ready() {
			continue
		}
		from := record.Member{Incarnation: record.Incarnation{Host: one.Name}, Address: one.Address, Domain: one.Domain}
		if !l.caughtUp(ctx, from) {
			continue
		}
		l.host.MarkReady()
		klog.InfoS("Took the state from another host", "from", one.Name, "next", l.host.Next())
	}
}

// caughtUp fetches until this host knows all that a ready one knows. A state
// that the log has told to be behind its retention does not count.
func (l *lister) caughtUp(ctx context.Context, from record.Member) bool {
	for ctx.Err() == nil {
		pong, ok := l.ping(ctx, from)
		if !ok || !pong.Ready {
			return false
		}
		if next := l.host.Next(); next >= pong.Next {
			return next >= l.floor()
		}
		if err := l.beater.fetch(ctx, from); err != nil {
			return false
		}
	}
	return false
}

func (l *lister) ping(ctx context.Context, to record.Member) (message.Pong, bool) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	reply, err := l.beater.call(ctx, to, &message.Call{Ping: &message.Ping{Next: l.host.Next()}})
	if err != nil || reply.Ping == nil {
		return message.Pong{}, false
	}
	return *reply.Ping, true
}
