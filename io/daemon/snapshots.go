package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"pineturn/core/host"
	"pineturn/core/record"
	"pineturn/io/logservice"
)

// snapshotPart is one record of the snapshot stream. A snapshot counts when
// all its parts are there and match the digest.
type snapshotPart struct {
	Next   uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Index  int    `cbor:"3,keyasint"`
	Count  int    `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}

// snapshotID tells snapshots apart; equal ones have equal parts.
type snapshotID struct {
	next   uint64
	digest uint64
}

// snapshots writes the state to the log before its records are trimmed, and
// reads it back.
type snapshots struct {
	host     *host.Host
	log      *logservice.Client
	now      nowFunc
	counts   *metrics
	interval time.Duration
	submit   func(ctx context.Context, ops []record.Op) (Written, error)
}

// run writes a snapshot at each interval, if this host is the planner.
func (s *snapshots) run(ctx context.Context) {
	every(ctx, s.interval, nil, func(ctx context.Context) {
		planner, ok := s.host.Planner(s.now())
		if !ok || planner.Incarnation != s.host.Self().Incarnation {
			return
		}
		if err := s.write(ctx); err != nil {
			s.counts.snapshotFailures.Add(1)
			klog.ErrorS(err, "No snapshot was written")
		}
	})
}

// write appends a checkpoint and the snapshot of the state at it.
func (s *snapshots) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.interval)
	defer cancel()
	if _, err := s.submit(ctx, []record.Op{s.host.Checkpoint()}); err != nil {
		return errors.Wrap(err, "append checkpoint")
	}
	image, ok := s.host.Image()
	if !ok {
		return errors.New("the checkpoint left no image")
	}
	for _, part := range split(image) {
		data, err := cbor.Marshal(part)
		if err != nil {
			return errors.Wrap(err, "encode snapshot part")
		}
		if _, err := s.log.Append(ctx, SnapshotStream, data); err != nil {
			return errors.Wrap(err, "append snapshot part")
		}
	}
	s.counts.snapshots.Add(1)
	return nil
}

func split(image host.Image) []snapshotPart {
	count := (len(image.Data) + partSize - 1) / partSize
	parts := make([]snapshotPart, 0, count)
	for i := range count {
		end := min((i+1)*partSize, len(image.Data))
		parts = append(parts, snapshotPart{
			Next: image.Next, Digest: image.Digest, Index: i, Count: count, Data: image.Data[i*partSize : end],
		})
	}
	return parts
}

// restore loads the newest whole snapshot of the stream.
func (s *snapshots) restore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	found := map[snapshotID]map[int][]byte{}
	counts := map[snapshotID]int{}
	from := uint64(0)
	for {
		page, err := s.log.Read(ctx, SnapshotStream, from, readLimit, 0)
		var trimmed *logservice.Trimmed
		if errors.As(err, &trimmed) {
			from = trimmed.Earliest
			continue
		}
		if err != nil {
			return errors.Wrap(err, "read snapshots")
		}
		for _, rec := range page.Records {
			from = rec.Offset + 1
			collect(found, counts, rec.Data)
		}
		if from >= page.Next {
			return s.restoreNewest(found, counts)
		}
	}
}

func collect(found map[snapshotID]map[int][]byte, counts map[snapshotID]int, data []byte) {
	var part snapshotPart
	if err := cbor.Unmarshal(data, &part); err != nil || part.Index < 0 || part.Index >= part.Count {
		return
	}
	id := snapshotID{next: part.Next, digest: part.Digest}
	if found[id] == nil {
		found[id] = map[int][]byte{}
	}
	found[id][part.Index] = part.Data
	counts[id] = part.Count
}

// restoreNewest tries the whole snapshots from the newest on; one that does
// not match its digest is passed over.
func (s *snapshots) restoreNewest(found map[snapshotID]map[int][]byte, counts map[snapshotID]int) error {
	for len(found) > 0 {
		newest := snapshotID{}
		for id := range found {
			if id.next >= newest.next {
				newest = id
			}
		}
		parts := found[newest]
		delete(found, newest)
		if len(parts) != counts[newest] {
			continue
		}
		var data []byte
		for i := range len(parts) {
			data = append(data, parts[i]...)
		}
		err := s.host.Restore(data, newest.digest, s.now())
		if err == nil {
			return nil
		}
		s.counts.snapshotFailures.Add(1)
		klog.ErrorS(err, "A snapshot was refused", "next", newest.next)
	}
	return errors.New("the log holds no whole snapshot")
}
