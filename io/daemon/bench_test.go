package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
	"pineturn/io/logservice"
	"pineturn/io/peer"
	"pineturn/io/target"
)

// meter counts the bytes that cross the connections of a listener, and the
// processor time of both ends.
type meter struct {
	net.Listener
	in, out atomic.Int64
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (m *meter) Accept() (net.Conn, error) {
	conn, err := m.Listener.Accept()
	return meteredConn{Conn: conn, meter: m}, err
}

func (c meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.in.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.out.Add(int64(n))
	return n, err
}

// newMeter serves handler on a port of its own.
func newMeter(b *testing.B, handler http.Handler) (*meter, string) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	m := &meter{Listener: listener}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(m) }()
	b.Cleanup(func() { _ = server.Close() })
	return m, listener.Addr().String()
}

// run repeats call and reports, for each, the bytes asked and answered and
// the processor time of both ends.
func (m *meter) run(b *testing.B, call func() error) {
	b.Helper()
	if err := call(); err != nil {
		b.Fatal(err)
	}
	m.in.Store(0)
	m.out.Store(0)
	used := processorTime(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime(b)-used)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(m.in.Load())/float64(b.N), "B-asked/op")
	b.ReportMetric(float64(m.out.Load())/float64(b.N), "B-answered/op")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchMember(name string) record.Member {
	return record.Member{Incarnation: record.Incarnation{Host: name, Run: 1_900_000_000_000_000}, Domain: "pos-a"}
}

// benchCall asks call of another host, which answers with reply.
func benchCall(b *testing.B, call *message.Call, reply *message.Reply) {
	b.Helper()
	server := peer.New(func() record.Member { return benchMember("host-2") }, peer.Options{})
	server.OnCall = func(context.Context, record.Member, *message.Call) (*message.Reply, error) { return reply, nil }
	m, address := newMeter(b, server)
	client := peer.NewClient(func() record.Member { return benchMember("host-1") }, peer.Options{})
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_ = client.Close(ctx)
		_ = server.Close(ctx)
	})
	to := benchMember("host-2")
	to.Address = address
	m.run(b, func() error {
		_, err := client.Call(b.Context(), to, call)
		return err
	})
}

// BenchmarkHeartbeat sends heartbeats whose answers list promises, as they do
// while the log is down.
func BenchmarkHeartbeat(b *testing.B) {
	for _, promises := range []int{0, 3, 30, 300} {
		b.Run(fmt.Sprintf("promises=%d", promises), func(b *testing.B) {
			pong := &message.Pong{From: benchMember("host-2").Incarnation, Next: 1_000_000, Ready: true, ConfigVersion: 900_000}
			for i := range promises {
				pong.Promises = append(pong.Promises, message.Promise{Target: benchTarget(i), Term: 7, Level: 1, Next: 1_000_000})
			}
			benchCall(b, &message.Call{Ping: &message.Ping{Next: 1_000_000}}, &message.Reply{Ping: pong})
		})
	}
}

// BenchmarkReport sends reports of one target with loaded shards.
func BenchmarkReport(b *testing.B) {
	for _, shards := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			one := message.TargetReport{Target: benchTarget(1), Term: 7, Alive: true}
			for i := range shards {
				one.Shards = append(one.Shards, message.ShardLoad{Shard: benchShard(i), Load: 0.0123 + float64(i)/1e6})
			}
			for i := range 16 {
				one.Hot = append(one.Hot, message.HotKey{Key: fmt.Sprintf("branch-%d", i), Load: 0.0123 + float64(i)/1e6})
			}
			call := &message.Call{Report: &message.Report{Targets: []message.TargetReport{one}}}
			benchCall(b, call, &message.Reply{Report: &message.ReportReply{}})
		})
	}
}

// BenchmarkCatchup fetches records of one assignment each from another host.
func BenchmarkCatchup(b *testing.B) {
	for _, count := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			reply := &message.CatchupReply{}
			for i := range count {
				reply.Records = append(reply.Records, message.Record{Offset: uint64(1_000_000 + i), Data: benchRecord(b, i)})
			}
			benchCall(b, &message.Call{Catchup: &message.Catchup{From: 1_000_000}}, &message.Reply{Catchup: reply})
		})
	}
}

func benchTarget(i int) record.Target {
	return record.Target{Service: "payoutledger", Name: fmt.Sprintf("payoutledger-%d", i)}
}

func benchShard(i int) shard.ID { return shard.ID{Service: "payoutledger", Group: "all", Index: i} }

func benchRecord(b *testing.B, i int) []byte {
	b.Helper()
	op := record.Op{Assign: &record.Assign{Shard: benchShard(i), Target: benchTarget(i).Name, Expect: 17, Why: "imbalance"}}
	id := record.ID{Writer: benchMember("host-1").Incarnation, Seq: uint64(i)}
	data, err := record.Encode(record.Batch{Version: record.Version, ID: id, Ops: []record.Op{op}})
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// BenchmarkGrant sends grants of a number of shards to a target; 0 is a
// renewal, which names none.
func BenchmarkGrant(b *testing.B) {
	for _, shards := range []int{0, 1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			m, address := newMeter(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				status := target.Status{Incarnation: "f3a9c1d27b60", ClockUs: 81_234_567_890, Slots: 2, Busy: 1, Health: "ok", Set: 7_696_581_394_474}
				_ = json.NewEncoder(w).Encode(status)
			}))
			client := target.New(clock.System{}, target.Options{})
			b.Cleanup(client.Close)
			grant := target.Grant{
				Incarnation: "f3a9c1d27b60", Term: 1792, Holder: benchMember("host-1").Incarnation.String(),
				Set: 7_696_581_394_474, ExpiresUs: 81_234_567_890, Renew: shards == 0,
			}
			for i := range shards {
				grant.Shards = append(grant.Shards, target.GrantShard{Shard: benchShard(i), Epoch: 5})
			}
			m.run(b, func() error {
				_, err := client.Grant(b.Context(), address, grant)
				return err
			})
		})
	}
}

// BenchmarkLogRead reads pages of records of one assignment each from the
// log; 0 is a look at its end.
func BenchmarkLogRead(b *testing.B) {
	for _, count := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			page := logservice.Page{Next: 1_000_000, Records: []logservice.Record{}}
			for i := range count {
				page.Records = append(page.Records, logservice.Record{Offset: uint64(1_000_000 + i), Data: benchRecord(b, i)})
			}
			m, address := newMeter(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(page)
			}))
			client := logservice.New(address)
			b.Cleanup(client.Close)
			m.run(b, func() error {
				_, err := client.Read(b.Context(), Stream, 1_000_000, readLimit, readWait)
				return err
			})
		})
	}
}
