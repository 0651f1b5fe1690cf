package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/config"
	"pineturn/core/dedup"
	"pineturn/core/dispatch"
	"pineturn/core/header"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/retry"
	"pineturn/core/route"
	"pineturn/core/shard"
	"pineturn/io/caller"
	"pineturn/io/target"
)

// startHost starts a target and one host with the caller server, the ingress and the
// leaseholder. It returns the address of the host for callers and the address of the
// target.
func startHost(tb testing.TB, handler http.HandlerFunc) (callerAddress, targetAddress string) {
	tb.Helper()
	targetServer := httptest.NewServer(handler)
	tb.Cleanup(targetServer.Close)
	address := targetServer.Listener.Addr().String()
	self := record.Member{Incarnation: record.Incarnation{Host: "host-1", Run: 1}, Domain: "pos-a"}
	service := newService(tb)
	ownerRoute := route.Route{
		Service: service, Target: service.Targets()[0], Epoch: 1, Token: 1, Leaseholder: self,
		Shard: shard.ID{Service: "coverdesk", Group: "all"},
	}
	source := clock.System{}
	client := target.New(source, target.Options{})
	tb.Cleanup(client.Close)
	table := dedup.New(source, dedup.Options{})
	leaseholder := &dispatch.Leaseholder{
		Self: self, Clock: source, Dedup: table, Send: client.Send,
		RouteShard: func(shard.ID) (route.Route, *outcome.Error) { return ownerRoute, nil },
		Members:    func() []record.Member { return []record.Member{self} },
		Permit: func(shard.ID, uint64, string) (route.Permit, func(), *outcome.Error) {
			now := source.Now()
			permit := route.Permit{Address: address, Epoch: 1, Token: 1, Until: now.Add(time.Minute), ClockAt: now}
			return permit, func() {}, nil
		},
	}
	tb.Cleanup(leaseholder.Close)
	ingress := &dispatch.Ingress{
		Self: self, Clock: source, Dedup: table, Budget: retry.New(source), Local: leaseholder.Serve,
		Route:   func(string, string) (route.Route, *outcome.Error) { return ownerRoute, nil },
		Changed: func() <-chan struct{} { return nil },
	}
	callerServer := httptest.NewUnstartedServer(nil)
	callerServer.Config = caller.NewServer(caller.NewHandler(caller.Backend{
		Handle:  ingress.Handle,
		MaxBody: func(string) (int64, bool) { return 0, true },
	}))
	callerServer.Start()
	tb.Cleanup(callerServer.Close)
	return callerServer.Listener.Addr().String(), address
}

// newService returns a service with one target.
func newService(tb testing.TB) *config.Service {
	tb.Helper()
	merged, faults := config.Merge(1, []config.File{{Name: "coverdesk.yaml", Content: []byte(`services:
  coverdesk:
    targets:
      coverdesk-1: {address: "127.0.0.1:9001", domain: pos-a, slots: 64, connections: 100}
`)}})
	if len(faults) > 0 {
		tb.Fatal(faults)
	}
	service, _ := merged.Service("coverdesk")
	return service
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	_, _ = io.Copy(w, r.Body)
	_, _ = io.WriteString(w, "ok")
}

func get(ctx context.Context, client *http.Client, address string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/s/coverdesk/k/tenant-1/cover", nil)
	if err != nil {
		return "", err
	}
	response, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.Header.Get(header.Outcome) + " " + string(body), err
}

func TestEndToEnd(t *testing.T) {
	t.Run("response", func(t *testing.T) {
		address, _ := startHost(t, echo)
		got, err := get(context.Background(), http.DefaultClient, address)
		if want := "done ok"; got != want || err != nil {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	})
	t.Run("long response, truncated", func(t *testing.T) {
		address, _ := startHost(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
			_, _ = w.Write(make([]byte, 1<<20))
			panic(http.ErrAbortHandler)
		})
		if _, err := get(context.Background(), http.DefaultClient, address); err == nil {
			t.Error("got a complete response, want an error")
		}
	})
	t.Run("long response is not buffered", func(t *testing.T) {
		const size = 64 << 20
		address, _ := startHost(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
			chunk := make([]byte, 64<<10)
			for range size / len(chunk) {
				_, _ = w.Write(chunk)
			}
		})
		response, err := http.Get("http://" + address + "/s/recordsvault/k/tenant-1/statement")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		n, err := io.Copy(io.Discard, response.Body)
		runtime.ReadMemStats(&after)
		if n != size || err != nil {
			t.Errorf("got %d bytes, %v, want %d", n, err, size)
		}
		if got := after.TotalAlloc - before.TotalAlloc; got > size/4 {
			t.Errorf("got %d bytes allocated, want at most a quarter of the response's %d bytes", got, size)
		}
	})
	t.Run("disconnect of the caller cancels the request at the target", func(t *testing.T) {
		started, cancelled := make(chan struct{}), make(chan struct{})
		address, _ := startHost(t, func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(cancelled)
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		_, _ = get(ctx, http.DefaultClient, address)
		select {
		case <-cancelled:
		case <-time.After(20 * time.Second):
			t.Error("request was not cancelled at the target within 20 s")
		}
	})
}

// BenchmarkEndToEnd measures requests to a target through one host and directly,
// sequentially and with about 64 requests in flight.
func BenchmarkEndToEnd(b *testing.B) {
	callerAddress, targetAddress := startHost(b, echo)
	for _, path := range []struct{ name, address string }{{"through a host", callerAddress}, {"direct", targetAddress}} {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		request := func(b *testing.B) {
			if _, err := get(context.Background(), client, path.address); err != nil {
				b.Error(err)
			}
		}
		b.Run(path.name+"/sequential", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request(b)
			}
		})
		b.Run(path.name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism((64 + runtime.GOMAXPROCS(0) - 1) / runtime.GOMAXPROCS(0))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					request(b)
				}
			})
		})
		client.CloseIdleConnections()
	}
}
