package daemon

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/host"
	"pineturn/core/member"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/io/peer"
)

// callFunc asks another host a control question.
type callFunc func(ctx context.Context, to record.Member, call *message.Call) (*message.Reply, error)

// beater sends heartbeats, and fetches records that other hosts know already.
type beater struct {
	host   *host.Host
	call   callFunc
	now    nowFunc
	counts *metrics
	wake   chan struct{}
	folded func(list []host.FoldedBatch)

	// mu guards beating and catching.
	mu       sync.Mutex
	beating  map[record.Incarnation]bool
	catching bool
	flying   sync.WaitGroup
}

// run beats until ctx ends.
func (b *beater) run(ctx context.Context) {
	defer b.flying.Wait()
	every(ctx, member.DefaultInterval, b.wake, func(ctx context.Context) {
		for _, to := range b.host.HeartbeatPeers() {
			if b.claim(to.Incarnation) {
				b.flying.Go(func() { b.beat(ctx, to) })
			}
		}
	})
}

// claim admits one heartbeat at a time to each incarnation.
func (b *beater) claim(id record.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.beating[id] {
		return false
	}
	b.beating[id] = true
	return true
}

func (b *beater) unclaim(id record.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.beating, id)
}

func (b *beater) beat(ctx context.Context, to record.Member) {
	defer b.unclaim(to.Incarnation)
	timed, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	asked := b.now()
	reply, err := b.call(timed, to, &message.Call{Ping: &message.Ping{Next: b.host.Next()}})
	if err != nil || reply.Ping == nil {
		b.counts.beats.WithLabelValues("failed").Add(1)
		b.replaced(to.Incarnation, err)
		return
	}
	b.counts.beats.WithLabelValues("answered").Add(1)
	if b.host.OnPong(*reply.Ping, asked, b.now()) && reply.Ping.Ready {
		b.catchUp(ctx, to)
	}
}

// behind fetches from a host that knows more than this one, which has heard
// so from it.
func (b *beater) behind(from record.Member, next uint64) {
	if next > b.host.Next() && b.host.Ready() {
		b.flying.Go(func() { b.catchUp(context.Background(), from) })
	}
}

// replaced takes in that a later run of a host answered at its address.
func (b *beater) replaced(id record.Incarnation, err error) {
	var other *peer.OtherIncarnation
	if errors.As(err, &other) && other.Got.Host == id.Host && other.Got.Run > id.Run {
		b.host.OnReplaced(id, b.now())
	}
}

// catchUp fetches what another host knows and this one does not, one fetch
// at a time.
func (b *beater) catchUp(ctx context.Context, from record.Member) {
	b.mu.Lock()
	busy := b.catching
	b.catching = true
	b.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.catching = false
	}()
	if err := b.fetch(ctx, from); err != nil {
		klog.V(1).InfoS("Catching up failed", "from", from.Incarnation.String(), "err", err)
	}
}

// fetch takes records, or a snapshot, from another host.
func (b *beater) fetch(ctx context.Context, from record.Member) error {
	ctx, cancel := context.WithTimeout(ctx, catchupTimeout)
	defer cancel()
	b.counts.catchups.Add(1)
	reply, err := b.call(ctx, from, &message.Call{Catchup: &message.Catchup{From: b.host.Next()}})
	if err != nil {
		return errors.Wrap(err, "fetch records")
	}
	if reply.Catchup == nil {
		return errors.New("fetch records: no answer of that kind")
	}
	if len(reply.Catchup.Snapshot) > 0 {
		return errors.Wrap(b.host.Restore(reply.Catchup.Snapshot, reply.Catchup.Digest, b.now()), "take a snapshot")
	}
	list, err := b.host.Fold(reply.Catchup.Records, b.now())
	b.folded(list)
	return errors.Wrap(err, "fold fetched records")
}
