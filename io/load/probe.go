package load

import (
	"context"
	"time"
)

// probe sends a request for each probed key once per ProbeInterval until the end of
// the schedule. The requests for different keys are spread evenly over the interval.
func (r *Run) probe(ctx context.Context) {
	probes := r.options.Workload.Probes(r.options.Probes, r.options.Schedule.Run)
	for n := 0; ; n++ {
		for i, probe := range probes {
			offset := time.Duration(i) * r.options.ProbeInterval / time.Duration(len(probes))
			due := time.Duration(n)*r.options.ProbeInterval + offset
			if due >= r.options.Schedule.Duration || !r.sleepUntil(ctx, due) {
				return
			}
			r.outstanding.Add(1)
			r.enqueue(job{request: probe.Request(n, due), number: 1, probe: true})
		}
	}
}
