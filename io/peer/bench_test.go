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

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportCPU measures processor time, of both ends, until its result is called.
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
	r := newRig(b, Options{})
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

// benchRequest is a request as callers send them, with a body of 1 KiB that
// comes back as the answer.
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
	r := newRig(b, Options{})
	assertEcho(b, r, benchRequest.Body)
	defer reportCPU(b)()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			answer, fail := r.client.Request(b.Context(), r.to, benchRequest)
			if fail != nil {
				b.Error(fail)
				return
			}
			n, err := io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			if err != nil || n != int64(len(benchRequest.Body)) {
				b.Errorf("got %d bytes and error %v, want %d and none", n, err, len(benchRequest.Body))
			}
		}
	})
}

// crowd is a client of many hosts: one server that listens at many addresses.
type crowd struct {
	*rig
	hosts []record.Member
}

func newCrowd(b *testing.B, hosts int, options Options, secure *tls.Config) *crowd {
	b.Helper()
	c := &crowd{rig: newRig(b, options)}
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

// connect opens a client's control connection to every host.
func (c *crowd) connect(b *testing.B, client *Client) {
	b.Helper()
	for _, to := range c.hosts {
		if _, err := client.Call(within(b), to, ping(1)); err != nil {
			b.Fatal(err)
		}
	}
}

// settleTime lets what was closed before end, so that it isn't counted.
const settleTime = 200 * time.Millisecond

// memory returns the bytes of heap and stacks in use.
func memory() float64 {
	time.Sleep(settleTime)
	for range 3 {
		runtime.GC() // shrinks stacks, too
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// sizes are numbers of connections, a decade apart.
var sizes = []int{10, 100, 1000}

// BenchmarkHeartbeat asks many hosts in turn. It reports the bytes of one
// question and its answer on the wire without TCP and IP headers, and
// processor time, both ends together.
func BenchmarkHeartbeat(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("conns=%d", hosts), func(b *testing.B) {
			bytes := new(total)
			c := newCrowd(b, hosts, Options{Metrics: Metrics{Bytes: bytes}}, nil)
			c.connect(b, c.client)
			c.client.keeper.sweep(0)
			c.server.keeper.sweep(0)
			before := bytes.Load()
			report := reportCPU(b)
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
			report()
			c.client.keeper.sweep(0)
			c.server.keeper.sweep(0)
			// Both ends count each byte, one as sent and one as received.
			b.ReportMetric(float64(bytes.Load()-before)/2/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkConnections opens control connections, so many from each client,
// and reports what one takes in memory while unused, what processor time it
// takes to open, and how long one look at it takes, both ends together.
func BenchmarkConnections(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("conns=%d", hosts), func(b *testing.B) {
			benchmarkConnections(b, newCrowd(b, hosts, Options{}, nil))
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
	for _, hosts := range sizes {
		b.Run(fmt.Sprintf("conns=%d", hosts), func(b *testing.B) {
			benchmarkConnections(b, newCrowd(b, hosts, options, web.TLS))
		})
	}
}

// measured is the number of connections that a memory figure is taken over,
// by as many clients as that takes, so that it stands out from what else
// changes in the process.
const measured = 1000

func benchmarkConnections(b *testing.B, c *crowd) {
	b.Helper()
	clients := []*Client{c.client}
	for len(clients)*len(c.hosts) < measured {
		client := NewClient(c.client.self, c.client.options)
		b.Cleanup(func() { _ = client.Close(within(b)) })
		clients = append(clients, client)
	}
	conns := float64(len(clients) * len(c.hosts))
	before, start := memory(), processorTime(b)
	for _, client := range clients {
		c.connect(b, client)
	}
	opening := float64(processorTime(b)-start) / conns
	each := (memory() - before) / conns
	for b.Loop() {
		for _, client := range clients {
			client.keeper.sweep(0)
		}
		c.server.keeper.sweep(0)
	}
	b.ReportMetric(each, "B/conn")
	b.ReportMetric(opening, "open-cpu-ns/conn")
	b.ReportMetric(float64(b.Elapsed())/float64(b.N)/conns, "ns/conn/look")
}
