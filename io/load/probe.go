package load

import (
	"context"
	"time"
)

// probe asks each probed key at a steady interval until the run ends. The
// keys' turns are spread over the interval.
func (r *Run) probe(ctx context.Context) {
	probes := r.options.Workload.Probes(r.options.Probes, r.options.Schedule.Run)
	for n := 0; ; n++ {
		for i, probe := range probes {
			offset := time.Duration(i) * r.options.ProbeEvery / time.Duration(len(probes))
			due := time.Duration(n)*r.options.ProbeEvery + offset
			if due >= r.options.Schedule.Duration || !r.sleepUntil(ctx, due) {
				return
			}
			r.outstanding.Add(1)
			r.push(job{request: probe.Request(n, due), number: 1, probe: true})
		}
	}
}
