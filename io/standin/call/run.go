package call

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"pineturn/core/audit"
	"pineturn/core/outcome"
)

// Workload is a run of many requests. Keys are drawn, by Seed, from Keys keys
// named after the request's; with one key it is the request's own. Each
// request goes to the next of Hosts. A request that was not run is sent again
// to another host, with the same id, up to Attempts times in all.
type Workload struct {
	Request     Request
	Hosts       []string
	Count       int
	Rate        float64
	Parallel    int
	Keys        int
	MaxAttempts int
	RetryDelay  time.Duration
	Seed        uint64
}

// Totals counts the outcomes of the last attempts, and of all attempts.
type Totals struct {
	Done     int `json:"done"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	Attempts int `json:"attempts"`
	// FirstUnknown says what came of the first request whose outcome is unknown.
	FirstUnknown string `json:"first_unknown,omitempty"`
}

// recorder writes records as JSON lines and counts them.
type recorder struct {
	mu     sync.Mutex
	out    io.Writer
	totals Totals
	err    error
}

// Run sends the planned requests and writes a record of each attempt to out.
func (c *Client) Run(ctx context.Context, plan Workload, out io.Writer) (Totals, error) {
	requests := make(chan Request)
	written := &recorder{out: out}
	var workers sync.WaitGroup
	for range max(1, plan.Parallel) {
		workers.Go(func() {
			for request := range requests {
				c.attempt(ctx, plan, request, written)
			}
		})
	}
	plan.feed(ctx, requests)
	close(requests)
	workers.Wait()
	return written.totals, written.err
}

// feed hands out the requests, at the plan's rate if it has one.
func (p Workload) feed(ctx context.Context, requests chan<- Request) {
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	start := time.Now()
	for i := range p.Count {
		request := p.Request
		request.ID = fmt.Sprintf("%s-%d", p.Request.ID, i)
		if p.Keys > 1 {
			request.Key = fmt.Sprintf("%s-%d", p.Request.Key, random.IntN(p.Keys))
		}
		request.Attempt = i // the first host; attempt numbers it anew
		if p.Rate > 0 && !wait(ctx, time.Until(start.Add(time.Duration(float64(i)/p.Rate*float64(time.Second))))) {
			return
		}
		select {
		case requests <- request:
		case <-ctx.Done():
			return
		}
	}
}

// attempt sends a request until it was run, may have been, or its attempts
// are used up.
func (c *Client) attempt(ctx context.Context, plan Workload, request Request, written *recorder) {
	first := request.Attempt
	for number := 1; ; number++ {
		request.Attempt = number
		request.Host = plan.Hosts[(first+number-1)%len(plan.Hosts)]
		result := c.Do(ctx, request)
		last := result.Record.Outcome != outcome.NotRun.String() || number >= plan.MaxAttempts
		written.write(request.Host, result, last)
		if last || !wait(ctx, plan.RetryDelay) {
			return
		}
	}
}

// WriteRecord writes a record as one JSON line, in one write.
func WriteRecord(out io.Writer, record audit.Record) error {
	line, err := json.Marshal(record)
	if err == nil {
		_, err = out.Write(append(line, '\n'))
	}
	if err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	return nil
}

func (r *recorder) write(host string, result Result, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := result.Record
	if err := WriteRecord(r.out, record); err != nil && r.err == nil {
		r.err = err
	}
	r.totals.Attempts++
	if !last {
		return
	}
	switch record.Outcome {
	case outcome.Done.String():
		r.totals.Done++
	case outcome.NotRun.String():
		r.totals.NotRun++
	default:
		r.totals.Unknown++
		if r.totals.FirstUnknown == "" {
			r.totals.FirstUnknown = fmt.Sprintf("%s at %s: %s: %v", record.ID, host, record.Reason, result.Err)
		}
	}
}

// wait pauses for d and reports whether ctx lets it go on.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
