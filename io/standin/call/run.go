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
	"pineturn/core/clock"
	"pineturn/core/outcome"
)

// Workload is a sequence of Count requests, sent at Rate requests a second, or
// without pauses if Rate is 0, by Parallel workers. With Keys over 1, the key of
// each request is drawn with Seed from Keys keys, which have Request.Key as a
// prefix; otherwise it is Request.Key. Successive requests start at successive
// hosts. A request with outcome not-run is sent again after RetryDelay to the
// next host, with the same id, in at most MaxAttempts attempts.
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

// Totals are the numbers of requests by the outcome of their last attempt, and
// the number of all attempts.
type Totals struct {
	Done     int `json:"done"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	Attempts int `json:"attempts"`
	// FirstUnknown describes the first request whose outcome is unknown.
	FirstUnknown string `json:"first_unknown,omitempty"`
}

// recorder writes records as JSON lines and counts them. It keeps the first
// error.
type recorder struct {
	mu     sync.Mutex
	out    io.Writer
	totals Totals
	err    error
}

// Run sends the requests of a workload and writes a record of each attempt to out.
func (c *Client) Run(ctx context.Context, workload Workload, out io.Writer) (Totals, error) {
	requests := make(chan Request)
	rec := &recorder{out: out}
	var workers sync.WaitGroup
	for range max(1, workload.Parallel) {
		workers.Go(func() {
			for request := range requests {
				c.sendWithRetries(ctx, workload, request, rec)
			}
		})
	}
	workload.generate(ctx, requests)
	close(requests)
	workers.Wait()
	return rec.totals, rec.err
}

// generate sends the requests to a channel at the workload's rate, or as fast as
// they are received if the rate is 0.
func (w Workload) generate(ctx context.Context, requests chan<- Request) {
	random := rand.New(rand.NewPCG(w.Seed, w.Seed))
	startTime := time.Now()
	for i := range w.Count {
		request := w.Request
		request.ID = fmt.Sprintf("%s-%d", w.Request.ID, i)
		if w.Keys > 1 {
			request.Key = fmt.Sprintf("%s-%d", w.Request.Key, random.IntN(w.Keys))
		}
		request.Attempt = i // index of the first host; sendWithRetries sets the attempt's number
		if w.Rate > 0 && !clock.Sleep(ctx, time.Until(startTime.Add(time.Duration(float64(i)/w.Rate*float64(time.Second))))) {
			return
		}
		select {
		case requests <- request:
		case <-ctx.Done():
			return
		}
	}
}

// sendWithRetries sends a request until its outcome is other than not-run, or
// MaxAttempts is reached. Each attempt goes to the next host.
func (c *Client) sendWithRetries(ctx context.Context, workload Workload, request Request, rec *recorder) {
	firstHost := request.Attempt
	for attempt := 1; ; attempt++ {
		request.Attempt = attempt
		request.Host = workload.Hosts[(firstHost+attempt-1)%len(workload.Hosts)]
		result := c.Do(ctx, request)
		final := result.Record.Outcome != outcome.NotRun.String() || attempt >= workload.MaxAttempts
		rec.write(request.Host, result, final)
		if final || !clock.Sleep(ctx, workload.RetryDelay) {
			return
		}
	}
}

// WriteRecord writes a record to out as one JSON line, in one write.
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

func (r *recorder) write(host string, result Result, final bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := result.Record
	if err := WriteRecord(r.out, record); err != nil && r.err == nil {
		r.err = err
	}
	r.totals.Attempts++
	if !final {
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
