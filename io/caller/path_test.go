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

// startPath joins caller, entry, holder and target on one host, and returns
// the address for callers and that of the target.
func startPath(tb testing.TB, answer http.HandlerFunc) (callers, direct string) {
	tb.Helper()
	server := httptest.NewServer(answer)
	tb.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	self := record.Member{Incarnation: record.Incarnation{Host: "host-1", Run: 1}, Domain: "pos-a"}
	service := newService(tb)
	way := route.Route{
		Service: service, Target: service.Targets()[0], Epoch: 1, Term: 1, Leaseholder: self,
		Shard: shard.ID{Service: "coverdesk", Group: "all"},
	}
	source := clock.System{}
	client := target.New(source, target.Options{})
	tb.Cleanup(client.Close)
	memory := dedup.New(source, dedup.Options{})
	holder := &dispatch.Leaseholder{
		Self: self, Clock: source, Dedup: memory, Send: client.Send,
		RouteShard: func(shard.ID) (route.Route, *outcome.Error) { return way, nil },
		Members:    func() []record.Member { return []record.Member{self} },
		Permit: func(shard.ID, uint64, string) (route.Permit, func(), *outcome.Error) {
			now := source.Now()
			permit := route.Permit{Address: address, Epoch: 1, Term: 1, Until: now.Add(time.Minute), ClockAt: now}
			return permit, func() {}, nil
		},
	}
	tb.Cleanup(holder.Close)
	entry := &dispatch.Ingress{
		Self: self, Clock: source, Dedup: memory, Budget: retry.New(source), Local: holder.Serve,
		Route:   func(string, string) (route.Route, *outcome.Error) { return way, nil },
		Changed: func() <-chan struct{} { return nil },
	}
	front := httptest.NewUnstartedServer(nil)
	front.Config = caller.NewServer(caller.NewHandler(caller.Entry{
		Handle:  entry.Handle,
		MaxBody: func(string) (int64, bool) { return 0, true },
	}))
	front.Start()
	tb.Cleanup(front.Close)
	return front.Listener.Addr().String(), address
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

func TestPath(t *testing.T) {
	t.Run("answer", func(t *testing.T) {
		address, _ := startPath(t, echo)
		got, err := get(context.Background(), http.DefaultClient, address)
		if want := "done ok"; got != want || err != nil {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	})
	t.Run("long answer, cut", func(t *testing.T) {
		address, _ := startPath(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
			_, _ = w.Write(make([]byte, 1<<20))
			panic(http.ErrAbortHandler)
		})
		if _, err := get(context.Background(), http.DefaultClient, address); err == nil {
			t.Error("got a whole answer, want an error")
		}
	})
	t.Run("long answer is not held in memory", func(t *testing.T) {
		const size = 64 << 20
		address, _ := startPath(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
			part := make([]byte, 64<<10)
			for range size / len(part) {
				_, _ = w.Write(part)
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
			t.Errorf("got %d bytes allocated, want far less than the answer's %d", got, size)
		}
	})
	t.Run("caller gone cancels the request at the target", func(t *testing.T) {
		began, ended := make(chan struct{}), make(chan struct{})
		address, _ := startPath(t, func(_ http.ResponseWriter, r *http.Request) {
			close(began)
			<-r.Context().Done()
			close(ended)
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-began
			cancel()
		}()
		_, _ = get(ctx, http.DefaultClient, address)
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Error("got no cancellation at the target in 20 s, want one")
		}
	})
}

// BenchmarkPath calls a target through one host and directly, one call after
// the other and about 64 at once.
func BenchmarkPath(b *testing.B) {
	callers, direct := startPath(b, echo)
	for _, way := range []struct{ name, address string }{{"through a host", callers}, {"direct", direct}} {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		call := func(b *testing.B) {
			if _, err := get(context.Background(), client, way.address); err != nil {
				b.Error(err)
			}
		}
		b.Run(way.name+"/one", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				call(b)
			}
		})
		b.Run(way.name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism((64 + runtime.GOMAXPROCS(0) - 1) / runtime.GOMAXPROCS(0))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					call(b)
				}
			})
		})
		client.CloseIdleConnections()
	}
}
