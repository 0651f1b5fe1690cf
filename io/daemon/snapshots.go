package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/host"
	"pineturn/core/record"
	"pineturn/io/logservice"
)

// snapshotPart is one record of the snapshot stream. A snapshot is valid if all
// its parts are present and match the digest.
type snapshotPart struct {
	Next   uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Index  int    `cbor:"3,keyasint"`
	Count  int    `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}

// snapshotID identifies a snapshot. Snapshots with equal ids have equal parts.
type snapshotID struct {
	next   uint64
	digest uint64
}

// snapshots writes snapshots of the state to the log before the records that they
// cover are trimmed, and restores the state from them.
type snapshots struct {
	host     *host.Host
	log      *logservice.Client
	now      nowFunc
	metrics  *metrics
	interval time.Duration
	submit   func(ctx context.Context, ops []record.Op) (SubmitResult, error)
}

// run writes a snapshot at each interval while this host is the planner.
func (s *snapshots) run(ctx context.Context) {
	runEvery(ctx, s.interval, nil, func(ctx context.Context) {
		planner, ok := s.host.Planner(s.now())
		if !ok || planner.Incarnation != s.host.Self().Incarnation {
			return
		}
		if err := s.write(ctx); err != nil {
			s.metrics.snapshotFailures.Add(1)
			klog.ErrorS(err, "Failed to write a snapshot")
		}
	})
}

// write appends a checkpoint and a snapshot of the state at the checkpoint.
func (s *snapshots) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.interval)
	defer cancel()
	if _, err := s.submit(ctx, []record.Op{s.host.CheckpointOp()}); err != nil {
		return errors.Wrap(err, "append checkpoint")
	}
	snapshot, ok := s.host.TakeCheckpointSnapshot()
	if !ok {
		return errors.New("no snapshot of the state at the checkpoint")
	}
	if err := s.appendParts(ctx, splitSnapshot(snapshot)); err != nil {
		return err
	}
	s.metrics.snapshots.Add(1)
	return nil
}

// appendParts appends parts until all of them are on the log. If the append of a part
// fails, appendParts checks whether the part is on the log before it appends the part
// again. Duplicate parts are harmless.
func (s *snapshots) appendParts(ctx context.Context, parts []snapshotPart) error {
	for {
		var failed []snapshotPart
		var lastErr error
		for _, part := range parts {
			if err := s.append(ctx, part); err != nil {
				failed, lastErr = append(failed, part), err
			}
		}
		if len(failed) == 0 {
			return nil
		}
		if clock.Sleep(ctx, appendRetryDelay); ctx.Err() != nil {
			return errors.Wrap(lastErr, "append snapshot")
		}
		parts = failed
		if found, err := s.scan(ctx); err == nil {
			parts = slices.DeleteFunc(failed, found.contains)
		}
	}
}

func (s *snapshots) append(ctx context.Context, part snapshotPart) error {
	data, err := cbor.Marshal(part)
	if err != nil {
		return errors.Wrap(err, "encode snapshot part")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = s.log.Append(ctx, SnapshotStream, data)
	return errors.Wrap(err, "append snapshot part")
}

func splitSnapshot(snapshot host.Snapshot) []snapshotPart {
	count := (len(snapshot.Data) + snapshotPartSize - 1) / snapshotPartSize
	parts := make([]snapshotPart, 0, count)
	for i := range count {
		end := min((i+1)*snapshotPartSize, len(snapshot.Data))
		parts = append(parts, snapshotPart{
			Next: snapshot.Next, Digest: snapshot.Digest, Index: i, Count: count, Data: snapshot.Data[i*snapshotPartSize : end],
		})
	}
	return parts
}

// snapshotSet holds the parts found in the stream, by snapshot.
type snapshotSet map[snapshotID]*snapshotContent

type snapshotContent struct {
	count int
	parts map[int][]byte
}

// add adds one record of the stream. Records that are not valid snapshot parts are
// ignored.
func (s snapshotSet) add(data []byte) {
	var part snapshotPart
	if err := cbor.Unmarshal(data, &part); err != nil || part.Index < 0 || part.Index >= part.Count {
		return
	}
	id := snapshotID{next: part.Next, digest: part.Digest}
	if s[id] == nil {
		s[id] = &snapshotContent{parts: map[int][]byte{}}
	}
	s[id].parts[part.Index] = part.Data
	s[id].count = part.Count
}

// contains reports whether the set contains a part.
func (s snapshotSet) contains(part snapshotPart) bool {
	content := s[snapshotID{next: part.Next, digest: part.Digest}]
	if content == nil {
		return false
	}
	_, ok := content.parts[part.Index]
	return ok
}

// takeNewest removes the newest snapshot from the set and returns it.
func (s snapshotSet) takeNewest() (snapshotID, *snapshotContent) {
	newest := snapshotID{}
	for id := range s {
		if id.next >= newest.next {
			newest = id
		}
	}
	content := s[newest]
	delete(s, newest)
	return newest, content
}

// restore restores the state from the newest valid snapshot in the stream.
func (s *snapshots) restore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	found, err := s.scan(ctx)
	if err != nil {
		return err
	}
	return s.restoreNewest(found)
}

// scan reads the whole stream.
func (s *snapshots) scan(ctx context.Context) (snapshotSet, error) {
	found := snapshotSet{}
	from := uint64(0)
	for {
		page, err := s.log.Read(ctx, SnapshotStream, from, readLimit, 0)
		var trimmed *logservice.TrimmedError
		if errors.As(err, &trimmed) {
			from = trimmed.Earliest
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "read snapshots")
		}
		for _, rec := range page.Records {
			from = rec.Offset + 1
			found.add(rec.Data)
		}
		if from >= page.Next {
			return found, nil
		}
	}
}

// restoreNewest restores the newest complete snapshot that matches its digest.
// Other snapshots are skipped.
func (s *snapshots) restoreNewest(found snapshotSet) error {
	for len(found) > 0 {
		id, content := found.takeNewest()
		if len(content.parts) != content.count {
			continue
		}
		var data []byte
		for i := range content.count {
			data = append(data, content.parts[i]...)
		}
		err := s.host.Restore(data, id.digest, s.now())
		if err == nil {
			return nil
		}
		s.metrics.snapshotFailures.Add(1)
		klog.ErrorS(err, "Rejected a snapshot", "next", id.next)
	}
	return errors.New("the log holds no complete snapshot")
}
