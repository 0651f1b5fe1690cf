package workload

import (
	"fmt"
	"net/http"
	"time"
)

// probeOperation requests a short response that takes no service time.
var probeOperation = &Operation{name: "probe", method: http.MethodGet, path: "/probe", share: 1}

// Probe is a key for which requests are sent at a fixed interval.
type Probe struct {
	service *Service
	key     string
	run     string
}

// Probes returns count probes for each service. Their keys are spread over the
// areas of the key space and do not depend on the seed. run is the prefix of the
// request ids.
func (w *Workload) Probes(count int, run string) []Probe {
	var probes []Probe
	for _, service := range w.services {
		space := service.keys
		for i := range count {
			key := space.key(i%space.areas, i/space.areas%space.perArea)
			probes = append(probes, Probe{service: service, key: key, run: run})
		}
	}
	return probes
}

// Request returns request number n of the probe, due at the given time from the
// start of the run.
func (p Probe) Request(n int, due time.Duration) *Request {
	id := fmt.Sprintf("%s-probe-%s-%s-%d", p.run, p.service.name, p.key, n)
	return &Request{due: due, id: id, key: p.key, service: p.service, operation: probeOperation}
}
