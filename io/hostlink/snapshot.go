package hostlink

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/io/metastore"
)

// errNoSnapshots means that this host reads no snapshots for others.
var errNoSnapshots = errors.New("no snapshots here")

// snapshotReader reads snapshots for the host of one link, one request at a time.
type snapshotReader struct {
	get  func(ctx context.Context, topic string) (metastore.Update, error)
	read chan metastore.Update
	busy atomic.Bool
}

func newSnapshotReader(get func(ctx context.Context, topic string) (metastore.Update, error)) *snapshotReader {
	return &snapshotReader{get: get, read: make(chan metastore.Update)}
}

// request reads the newest records of topics in the background. It does nothing during an
// earlier request: the other host repeats what it still lacks.
func (s *snapshotReader) request(ctx context.Context, topics []string) {
	if len(topics) == 0 || !s.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.busy.Store(false)
		for _, topic := range topics {
			u, err := s.get(ctx, topic)
			if err != nil {
				klog.InfoS("Failed to read a snapshot for another host", "topic", topic, "err", err)
				continue
			}
			select {
			case <-ctx.Done():
				return
			case s.read <- u:
			}
		}
	}()
}
