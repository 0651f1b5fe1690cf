package workload

import (
	"fmt"
	"net/http"
	"time"
)

// probeOperation asks for the target's short answer without any work.
var probeOperation = &Operation{name: "probe", method: http.MethodGet, path: "/probe", share: 1}

// Probe is a key that is asked at a steady interval.
type Probe struct {
	service *Service
	key     string
	run     string
}

// Probes returns count probed keys of each service, spread over the key
// space and the same for every seed.
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

// Request returns the probe's request number n, due at the given time.
func (p Probe) Request(n int, due time.Duration) *Request {
	id := fmt.Sprintf("%s-probe-%s-%s-%d", p.run, p.service.name, p.key, n)
	return &Request{due: due, id: id, key: p.key, service: p.service, operation: probeOperation}
}
