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

// appendJoins appends records of another writer that each join one member. It
// returns the encoded records.
func appendJoins(t *testing.T, r *fixture, from, to uint64) [][]byte {
	t.Helper()
	var list [][]byte
	for i := from; i < to; i++ {
		member := record.Member{Incarnation: record.Incarnation{Host: "m", Run: i + 1}}
		list = append(list, encode(t, record.Batch{
			ID:  record.ID{Writer: record.Incarnation{Host: "w", Run: 1}, Seq: i + 1},
			Ops: []record.Op{{Join: &record.Join{Member: member, Expect: i}}},
		}))
		_, err := r.client.Append(testContext(t), ChangeStream, list[len(list)-1])
		assertNoError(t, err)
	}
	return list
}

// servePage starts a log service that responds to every read with page, after
// calling before. It returns the address.
func servePage(t *testing.T, page logservice.Page, before func()) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		before()
		_ = json.NewEncoder(w).Encode(page)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// readFrom makes the reader use the log service at another address.
func (r *fixture) readFrom(address string) {
	r.reader.log = logservice.New(address)
	r.t.Cleanup(r.reader.log.CloseIdleConnections)
}

// TestReader guards against a host that folds records in the wrong order or leaves some
// out, or that becomes ready without the complete state: after a trim of the log, a shorter
// log, a concurrent fetch from another host, a gap or a malformed record.
func TestReader(t *testing.T) {
	t.Run("restores a snapshot when behind the retention", func(t *testing.T) {
		log := newTestLog(t)
		old := newFixture(t, log, "h1")
		old.run(old.writer.run, old.reader.run)
		appendJoins(t, old, 0, 3)
		assertNoError(t, old.snapshots.write(testContext(t)))
		appendJoins(t, old, 3, 5)
		log.trim(t, ChangeStream, 4)
		joining := newFixture(t, log, "h2")
		joining.run(joining.reader.run)
		eventually(t, "the joining host is ready at the end of the log", func() bool { return joining.host.Ready() && joining.host.Next() == 6 })
		eventually(t, "the old host is at the end of the log", func() bool { return old.host.Next() == 6 })
		assertSameState(t, joining, old)
	})
	t.Run("rejects a log that ends before the next expected offset", func(t *testing.T) {
		r := newFixture(t, newTestLog(t), "h1")
		appendJoins(t, r, 0, 3)
		assertNoError(t, r.reader.read(testContext(t)))
		r.readFrom(newTestLog(t).address)
		err := r.reader.read(testContext(t))
		if err == nil || !strings.Contains(err.Error(), "before the next expected offset") {
			t.Fatalf("got %v, want an error about the end of the log", err)
		}
		r.reader.handleReadError(testContext(t), err)
		assertEqual(t, "up", r.reader.Up(), false)
		assertEqual(t, "next", r.host.Next(), 3)
	})
	t.Run("accepts a page whose records were fetched from another host during the read", func(t *testing.T) {
		r := newFixture(t, newTestLog(t), "h1")
		data := appendJoins(t, r, 0, 2)
		r.readFrom(servePage(t, logservice.Page{Next: 1, Records: []logservice.Record{{Data: data[0]}}}, func() {
			_, err := r.host.Fold([]message.Record{{Data: data[0]}, {Offset: 1, Data: data[1]}}, time.Now())
			assertNoError(t, err)
		}))
		assertNoError(t, r.reader.read(testContext(t)))
		assertEqual(t, "next", r.host.Next(), 2)
		assertEqual(t, "ready after a page that ends before the folded state", r.host.Ready(), false)
	})
	t.Run("folds no records after a gap", func(t *testing.T) {
		r := newFixture(t, newTestLog(t), "h1")
		data := appendJoins(t, r, 0, 3)
		page := logservice.Page{Next: 3, Records: []logservice.Record{{Data: data[0]}, {Offset: 2, Data: data[2]}}}
		r.readFrom(servePage(t, page, func() {}))
		if err := r.reader.read(testContext(t)); !errors.Is(err, fold.ErrGap) {
			t.Fatalf("got %v, want %v", err, fold.ErrGap)
		}
		assertEqual(t, "next", r.host.Next(), 1)
		assertEqual(t, "ready", r.host.Ready(), false)
	})
	t.Run("skips a malformed record and continues to fold", func(t *testing.T) {
		r := newFixture(t, newTestLog(t), "h1")
		_, err := r.client.Append(testContext(t), ChangeStream, []byte{0xff, 0})
		assertNoError(t, err)
		appendJoins(t, r, 0, 1)
		assertNoError(t, r.reader.read(testContext(t)))
		assertEqual(t, "records", len(r.records()), 2)
		if r.records()[0].Err == nil {
			t.Fatal("malformed record: got no error, want one")
		}
		assertEqual(t, "membership epoch", r.epoch(), 1)
		assertEqual(t, "ready", r.host.Ready(), true)
	})
}

func assertSameState(t *testing.T, got, want *fixture) {
	t.Helper()
	_, gotDigest, err := got.host.Snapshot()
	assertNoError(t, err)
	_, wantDigest, err := want.host.Snapshot()
	assertNoError(t, err)
	assertEqual(t, "digest", gotDigest, wantDigest)
}
