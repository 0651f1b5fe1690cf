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

// meteredListener counts the bytes read and written on its connections.
type meteredListener struct {
	net.Listener
	in, out atomic.Int64
}

type meteredConn struct {
	net.Conn
	meteredListener *meteredListener
}

func (m *meteredListener) Accept() (net.Conn, error) {
	conn, err := m.Listener.Accept()
	return meteredConn{Conn: conn, meteredListener: m}, err
}

func (c meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meteredListener.in.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meteredListener.out.Add(int64(n))
	return n, err
}

// newMeteredListener serves handler on a free loopback port and returns the
// address.
func newMeteredListener(b *testing.B, handler http.Handler) (*meteredListener, string) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	m := &meteredListener{Listener: listener}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(m) }()
	b.Cleanup(func() { _ = server.Close() })
	return m, listener.Addr().String()
}

// run benchmarks call. It reports the request and response bytes per call, and the
// CPU time of client and server together.
func (m *meteredListener) run(b *testing.B, call func() error) {
	b.Helper()
	if err := call(); err != nil {
		b.Fatal(err)
	}
	m.in.Store(0)
	m.out.Store(0)
	used := cpuTime(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-used)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(m.in.Load())/float64(b.N), "B-asked/op")
	b.ReportMetric(float64(m.out.Load())/float64(b.N), "B-answered/op")
}

func cpuTime(b *testing.B) time.Duration {
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

// benchCall benchmarks call to another host that returns reply.
func benchCall(b *testing.B, call *message.Call, reply *message.Reply) {
	b.Helper()
	server := peer.NewServer(func() record.Member { return benchMember("host-2") }, peer.Options{})
	server.OnCall = func(context.Context, record.Member, *message.Call) (*message.Reply, error) { return reply, nil }
	m, address := newMeteredListener(b, server)
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

// BenchmarkHeartbeat sends heartbeats whose replies list promises, as during a log
// outage.
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

// BenchmarkReport sends reports on one target with different numbers of shards.
func BenchmarkReport(b *testing.B) {
	for _, shards := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			report := message.TargetReport{Target: benchTarget(1), Term: 7, Alive: true}
			for i := range shards {
				report.Shards = append(report.Shards, message.ShardLoad{Shard: benchShard(i), Load: 0.0123 + float64(i)/1e6})
			}
			for i := range 16 {
				report.Hot = append(report.Hot, message.HotKey{Key: fmt.Sprintf("branch-%d", i), Load: 0.0123 + float64(i)/1e6})
			}
			call := &message.Call{Report: &message.Report{Targets: []message.TargetReport{report}}}
			benchCall(b, call, &message.Reply{Report: &message.ReportReply{}})
		})
	}
}

// BenchmarkCatchup fetches records from another host, each with one assignment.
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

// BenchmarkGrant sends grants with different numbers of shards to a target. With 0
// shards it sends renewals, which list none.
func BenchmarkGrant(b *testing.B) {
	for _, shards := range []int{0, 1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			m, address := newMeteredListener(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				status := target.Status{Incarnation: "f3a9c1d27b60", ClockUs: 81_234_567_890, Slots: 2, InFlight: 1, Health: "ok", SetVersion: 7_696_581_394_474}
				_ = json.NewEncoder(w).Encode(status)
			}))
			client := target.New(clock.System{}, target.Options{})
			b.Cleanup(client.Close)
			grant := target.Grant{
				Incarnation: "f3a9c1d27b60", Term: 1792, Leaseholder: benchMember("host-1").Incarnation.String(),
				SetVersion: 7_696_581_394_474, ExpiresUs: 81_234_567_890, Renew: shards == 0,
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

// BenchmarkLogRead reads pages of records from the log, each with one assignment.
// With 0 records it reads at the end of the log.
func BenchmarkLogRead(b *testing.B) {
	for _, count := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			page := logservice.Page{Next: 1_000_000, Records: []logservice.Record{}}
			for i := range count {
				page.Records = append(page.Records, logservice.Record{Offset: uint64(1_000_000 + i), Data: benchRecord(b, i)})
			}
			m, address := newMeteredListener(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(page)
			}))
			client := logservice.New(address)
			b.Cleanup(client.CloseIdleConnections)
			m.run(b, func() error {
				_, err := client.Read(b.Context(), ChangeStream, 1_000_000, readLimit, readWait)
				return err
			})
		})
	}
}
