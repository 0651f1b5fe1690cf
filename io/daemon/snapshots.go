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
	if _, err := s.submit(ctx, []record.Op{s.host.CheckpointOp()}); err != nil {
		return errors.Wrap(err, "append checkpoint")
	}
	image, ok := s.host.TakeCheckpointSnapshot()
	if !ok {
		return errors.New("the checkpoint left no image")
	}
	if err := s.store(ctx, split(image)); err != nil {
		return err
	}
	s.counts.snapshots.Add(1)
	return nil
}

// store appends parts until each is known to be on the log. A part without an
// answer is looked for before it is sent again; copies of one are harmless.
func (s *snapshots) store(ctx context.Context, parts []snapshotPart) error {
	for {
		var lost []snapshotPart
		var fault error
		for _, part := range parts {
			if err := s.append(ctx, part); err != nil {
				lost, fault = append(lost, part), err
			}
		}
		if len(lost) == 0 {
			return nil
		}
		if clock.Sleep(ctx, appendSettle); ctx.Err() != nil {
			return errors.Wrap(fault, "append snapshot")
		}
		parts = lost
		if found, err := s.scan(ctx); err == nil {
			parts = slices.DeleteFunc(lost, found.holds)
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

func split(image host.Snapshot) []snapshotPart {
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

// snapshotSet is what the stream holds of each snapshot.
type snapshotSet map[snapshotID]*snapshotContent

type snapshotContent struct {
	count int
	parts map[int][]byte
}

// add takes in one record; one that is no part of a snapshot is left out.
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

// holds reports whether a part is there.
func (s snapshotSet) holds(part snapshotPart) bool {
	content := s[snapshotID{next: part.Next, digest: part.Digest}]
	if content == nil {
		return false
	}
	_, ok := content.parts[part.Index]
	return ok
}

// newest takes the newest snapshot out of the set.
func (s snapshotSet) newest() (snapshotID, *snapshotContent) {
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

// restore loads the newest whole snapshot of the stream.
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
		var trimmed *logservice.Trimmed
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

// restoreNewest tries the whole snapshots from the newest on; one that does
// not match its digest is passed over.
func (s *snapshots) restoreNewest(found snapshotSet) error {
	for len(found) > 0 {
		id, content := found.newest()
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
		s.counts.snapshotFailures.Add(1)
		klog.ErrorS(err, "A snapshot was refused", "next", id.next)
	}
	return errors.New("the log holds no whole snapshot")
}
