package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/fold"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/io/logservice"
)

// appendJoins appends records of another writer, one member each.
func appendJoins(t *testing.T, r *rig, from, to uint64) [][]byte {
	t.Helper()
	var list [][]byte
	for i := from; i < to; i++ {
		member := record.Member{Incarnation: record.Incarnation{Host: "m", Run: i + 1}}
		list = append(list, encode(t, record.Batch{
			ID:  record.ID{Writer: record.Incarnation{Host: "w", Run: 1}, Seq: i + 1},
			Ops: []record.Op{{Join: &record.Join{Member: member, Expect: i}}},
		}))
		_, err := r.client.Append(within(t), Stream, list[len(list)-1])
		assertNoError(t, err)
	}
	return list
}

// pageServer answers every read with one page, after it has called before.
func pageServer(t *testing.T, page logservice.Page, before func()) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		before()
		_ = json.NewEncoder(w).Encode(page)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// attach makes the rig read from another address.
func (r *rig) attach(address string) {
	r.reader.log = logservice.New(address)
	r.t.Cleanup(r.reader.log.Close)
}

func TestReader(t *testing.T) {
	t.Run("behind the retention it starts from a snapshot", func(t *testing.T) {
		log := newLog(t)
		old := newRig(t, log, "h1")
		old.run(old.writer.run, old.reader.run)
		appendJoins(t, old, 0, 3)
		assertNoError(t, old.snapshots.write(within(t)))
		appendJoins(t, old, 3, 5)
		log.trim(t, Stream, 4)
		late := newRig(t, log, "h2")
		late.run(late.reader.run)
		eventually(t, "the late host is ready at the end", func() bool { return late.host.Ready() && late.host.Next() == 6 })
		eventually(t, "the old host is at the end", func() bool { return old.host.Next() == 6 })
		assertSameState(t, late, old)
	})
	t.Run("a log that ends before the known record is refused", func(t *testing.T) {
		r := newRig(t, newLog(t), "h1")
		appendJoins(t, r, 0, 3)
		assertNoError(t, r.reader.read(within(t)))
		r.attach(newLog(t).address)
		err := r.reader.read(within(t))
		if err == nil || !strings.Contains(err.Error(), "before the known record") {
			t.Fatalf("got %v, want a refusal of the log", err)
		}
		r.reader.failed(within(t), err)
		assertEqual(t, "up", r.reader.Up(), false)
		assertEqual(t, "next", r.host.Next(), 3)
	})
	t.Run("what another host brought during the read is no fault of the log", func(t *testing.T) {
		r := newRig(t, newLog(t), "h1")
		data := appendJoins(t, r, 0, 2)
		r.attach(pageServer(t, logservice.Page{Next: 1, Records: []logservice.Record{{Data: data[0]}}}, func() {
			_, err := r.host.Fold([]message.Record{{Data: data[0]}, {Offset: 1, Data: data[1]}}, time.Now())
			assertNoError(t, err)
		}))
		assertNoError(t, r.reader.read(within(t)))
		assertEqual(t, "next", r.host.Next(), 2)
		assertEqual(t, "ready by a page that ends before what is known", r.host.Ready(), false)
	})
	t.Run("nothing behind a gap is folded", func(t *testing.T) {
		r := newRig(t, newLog(t), "h1")
		data := appendJoins(t, r, 0, 3)
		page := logservice.Page{Next: 3, Records: []logservice.Record{{Data: data[0]}, {Offset: 2, Data: data[2]}}}
		r.attach(pageServer(t, page, func() {}))
		if err := r.reader.read(within(t)); !errors.Is(err, fold.ErrGap) {
			t.Fatalf("got %v, want %v", err, fold.ErrGap)
		}
		assertEqual(t, "next", r.host.Next(), 1)
		assertEqual(t, "ready", r.host.Ready(), false)
	})
	t.Run("a malformed record is void and folding goes on", func(t *testing.T) {
		r := newRig(t, newLog(t), "h1")
		_, err := r.client.Append(within(t), Stream, []byte{0xff, 0})
		assertNoError(t, err)
		appendJoins(t, r, 0, 1)
		assertNoError(t, r.reader.read(within(t)))
		assertEqual(t, "records", len(r.records()), 2)
		if r.records()[0].Err == nil {
			t.Fatal("malformed record: got no error, want one")
		}
		assertEqual(t, "membership epoch", r.epoch(), 1)
		assertEqual(t, "ready", r.host.Ready(), true)
	})
}

func assertSameState(t *testing.T, got, want *rig) {
	t.Helper()
	_, one, err := got.host.Snapshot()
	assertNoError(t, err)
	_, other, err := want.host.Snapshot()
	assertNoError(t, err)
	assertEqual(t, "digest", one, other)
}
