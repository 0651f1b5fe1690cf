package peer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// processorTime returns the CPU time, user and system, that this process has
// used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportCPU starts a measurement of allocations and of the CPU time of both
// ends. The returned function ends it.
func reportCPU(b *testing.B) func() {
	b.Helper()
	b.ReportAllocs()
	b.ResetTimer()
	start := processorTime(b)
	return func() {
		b.StopTimer()
		b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op")
	}
}

func BenchmarkCall(b *testing.B) {
	r := newFixture(b, Options{})
	assertPing(b, r, 1)
	defer reportCPU(b)()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := r.client.Call(b.Context(), r.to, ping(1)); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// benchRequest is a typical caller's request. The server echoes its body of 1
// KiB.
var benchRequest = &message.Request{
	ID:     "01J9ZQ4W8N5T3R7K2M6P",
	Shard:  shard.ID{Service: "payoutledger", Group: "all", Index: 17},
	Epoch:  5,
	Key:    "branch-4711",
	Method: "POST",
	Path:   "/payouts",
	Header: map[string][]string{"Content-Type": {"application/json"}, "Accept": {"*/*"}},
	Body:   bytes.Repeat([]byte{'x'}, 1<<10),
}

func BenchmarkRequest(b *testing.B) {
	r := newFixture(b, Options{})
	assertEcho(b, r, benchRequest.Body)
	defer reportCPU(b)()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			response, fail := r.client.Request(b.Context(), r.to, benchRequest)
			if fail != nil {
				b.Error(fail)
				return
			}
			n, err := io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if err != nil || n != int64(len(benchRequest.Body)) {
				b.Errorf("got %d bytes and error %v, want %d and none", n, err, len(benchRequest.Body))
			}
		}
	})
}

// hostSet simulates many hosts with one server that listens on many addresses.
type hostSet struct {
	*fixture
	hosts []record.Member
}

func newHostSet(b *testing.B, hosts int, options Options, secure *tls.Config) *hostSet {
	b.Helper()
	c := &hostSet{fixture: newFixture(b, options)}
	web := &http.Server{Handler: c.server}
	b.Cleanup(func() { _ = web.Close() })
	for range hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		to := c.to
		to.Address = listener.Addr().String()
		if secure != nil {
			listener = tls.NewListener(listener, secure)
		}
		go func() { _ = web.Serve(listener) }()
		c.hosts = append(c.hosts, to)
	}
	return c
}

// connect opens a control connection from client to every host.
func (c *hostSet) connect(b *testing.B, client *Client) {
	b.Helper()
	for _, to := range c.hosts {
		if _, err := client.Call(testContext(b), to, ping(1)); err != nil {
			b.Fatal(err)
		}
	}
}

// closeDelay is the wait before a memory measurement, so that connections
// closed earlier have released their memory.
const closeDelay = 200 * time.Millisecond

// memoryInUse returns the heap and stack memory in use, in bytes.
func memoryInUse() float64 {
	time.Sleep(closeDelay)
	for range 3 {
		runtime.GC() // also shrinks stacks
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// hostCounts are the numbers of hosts in the benchmarks.
var hostCounts = []int{10, 100, 1000}

// BenchmarkHeartbeat sends pings to many hosts in turn. It reports the CPU time
// of both ends, and the bytes of a call and its reply on the wire without TCP
// and IP headers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, hosts := range hostCounts {
		b.Run(fmt.Sprintf("conns=%d", hosts), func(b *testing.B) {
			bytes := new(totalCounter)
			c := newHostSet(b, hosts, Options{Metrics: Metrics{Bytes: bytes}}, nil)
			c.connect(b, c.client)
			c.client.monitor.checkAll(0)
			c.server.monitor.checkAll(0)
			before := bytes.Load()
			reportMetrics := reportCPU(b)
			var next atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					to := c.hosts[int(next.Add(1))%hosts]
					if _, err := c.client.Call(b.Context(), to, ping(1<<20)); err != nil {
						b.Error(err)
						return
					}
				}
			})
			reportMetrics()
			c.client.monitor.checkAll(0)
			c.server.monitor.checkAll(0)
			// Both ends count each byte, one as sent and one as received.
			b.ReportMetric(float64(bytes.Load()-before)/2/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkConnections opens control connections, one from each client to each
// host. It reports, for both ends together, the memory of an unused connection,
// the CPU time to open one, and the duration of one check by the monitor.
func BenchmarkConnections(b *testing.B) {
	for _, hosts := range hostCounts {
		b.Run(fmt.Sprintf("conns=%d", hosts), func(b *testing.B) {
			benchmarkConnections(b, newHostSet(b, hosts, Options{}, nil))
		})
	}
}

// BenchmarkTLSConnections is BenchmarkConnections with TLS and an RSA
// certificate on the server.
func BenchmarkTLSConnections(b *testing.B) {
	web := httptest.NewTLSServer(nil)
	b.Cleanup(web.Close)
	trusted := x509.NewCertPool()
	trusted.AddCert(web.Certificate())
	options := Options{TLS: func() *tls.Config { return &tls.Config{RootCAs: trusted} }}
	for _, hosts := range hostCounts {
		b.Run(fmt.Sprintf("conns=%d", hosts), func(b *testing.B) {
			benchmarkConnections(b, newHostSet(b, hosts, options, web.TLS))
		})
	}
}

// measuredConnections is the minimum number of connections for a memory
// measurement. With few hosts, several clients connect to each, so that the
// memory of the connections is large compared to other changes in the process.
const measuredConnections = 1000

func benchmarkConnections(b *testing.B, c *hostSet) {
	b.Helper()
	clients := []*Client{c.client}
	for len(clients)*len(c.hosts) < measuredConnections {
		client := NewClient(c.client.self, c.client.options)
		b.Cleanup(func() { _ = client.Close(testContext(b)) })
		clients = append(clients, client)
	}
	conns := float64(len(clients) * len(c.hosts))
	before, start := memoryInUse(), processorTime(b)
	for _, client := range clients {
		c.connect(b, client)
	}
	openCPUTime := float64(processorTime(b)-start) / conns
	memoryPerConn := (memoryInUse() - before) / conns
	for b.Loop() {
		for _, client := range clients {
			client.monitor.checkAll(0)
		}
		c.server.monitor.checkAll(0)
	}
	b.ReportMetric(memoryPerConn, "B/conn")
	b.ReportMetric(openCPUTime, "open-cpu-ns/conn")
	b.ReportMetric(float64(b.Elapsed())/float64(b.N)/conns, "ns/conn/look")
}
