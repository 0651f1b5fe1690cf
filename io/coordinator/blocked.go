package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/platform"
)

// writeBlocked writes the requests that are refused if they differ from what the store has. Like
// the assignment, they are written only at the offset up to which this host has read, and not
// while the store is away.
func (c *Coordinator) writeBlocked(ctx context.Context, next int64, provenAt, now time.Time) {
	if now.Sub(provenAt) >= maxProofAgeForChanges {
		return
	}
	record, differs := c.Unrecorded()
	if !differs || now.Sub(c.blockedWrittenAt) < writeRetryInterval && next == c.blockedOffset {
		return
	}
	c.blockedWrittenAt, c.blockedOffset = now, next
	go func() {
		err := c.store.AppendAt(ctx, platform.TopicOwners, platform.KeyBlocked, record, next)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			klog.InfoS("Failed to write the requests that are refused", "at", next, "err", err)
		}
	}()
}
