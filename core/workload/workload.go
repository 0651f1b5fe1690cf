// Package workload defines the built-in workloads, which model the request
// traffic of two organizations that use pineturn, and generates seeded request
// schedules from them. Schedules have open-loop arrivals, a Zipf distribution
// over keys and a moving hot set. The package sends no requests.
package workload

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Operation is a kind of request to a service.
type Operation struct {
	name   string
	method string
	path   string
	once   bool
	// share is the operation's share of the requests to its service, from 0 to 1.
	share       float64
	serviceTime time.Duration
	// size is the length of the response body in bytes.
	size int64
}

// Name returns the name of the operation, which is unique within its service.
func (o *Operation) Name() string { return o.name }

// Once reports whether requests for the operation must not be repeated.
func (o *Operation) Once() bool { return o.once }

// ServiceTime returns the time for which a target processes a request.
func (o *Operation) ServiceTime() time.Duration { return o.serviceTime }

// Size returns the length of the response body in bytes, or zero for the target's
// default short response.
func (o *Operation) Size() int64 { return o.size }

// Service is a service of a workload with its mix of operations.
type Service struct {
	name       string
	share      float64
	targets    int
	operations []*Operation
	keys       keySpace
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Share returns the service's share of all requests, from 0 to 1.
func (s *Service) Share() float64 { return s.share }

// Targets returns the number of targets of the service in the modelled system.
func (s *Service) Targets() int { return s.targets }

// MeanServiceTime returns the mean service time over the mix of operations.
func (s *Service) MeanServiceTime() time.Duration {
	mean := 0.0
	for _, operation := range s.operations {
		mean += operation.share * float64(operation.serviceTime)
	}
	return time.Duration(mean)
}

// Workload models the request traffic of one organization.
type Workload struct {
	name     string
	services []*Service
	slots    int
	delay    time.Duration
	hotShare float64
}

// Name returns the workload's name.
func (w *Workload) Name() string { return w.name }

// Services returns the services.
func (w *Workload) Services() []*Service { return w.services }

// Slots returns the number of requests that each target runs concurrently.
func (w *Workload) Slots() int { return w.slots }

// Delay returns the one-way network delay between callers and hosts.
func (w *Workload) Delay() time.Duration { return w.delay }

// WithServices returns the workload restricted to the named services, with their
// shares normalized to a sum of 1. Without names, it returns the whole workload.
// It returns an error for a name that the workload does not have.
func (w *Workload) WithServices(names []string) (*Workload, error) {
	if len(names) == 0 {
		return w, nil
	}
	restricted := *w
	restricted.services = nil
	total := 0.0
	for _, name := range names {
		service, ok := w.service(name)
		if !ok {
			return nil, errors.Newf("workload %s has no service %q", w.name, name)
		}
		copied := *service
		restricted.services = append(restricted.services, &copied)
		total += copied.share
	}
	for _, service := range restricted.services {
		service.share /= total
	}
	return &restricted, nil
}

// Scale returns the workload with service times and response sizes multiplied by
// the factors, so that the load of many machines can be simulated on a small one.
func (w *Workload) Scale(timeFactor, sizeFactor float64) *Workload {
	scaled := *w
	scaled.services = nil
	for _, service := range w.services {
		copied := *service
		copied.operations = nil
		for _, operation := range service.operations {
			scaledOperation := *operation
			scaledOperation.serviceTime = time.Duration(float64(scaledOperation.serviceTime) * timeFactor)
			scaledOperation.size = int64(float64(scaledOperation.size) * sizeFactor)
			copied.operations = append(copied.operations, &scaledOperation)
		}
		scaled.services = append(scaled.services, &copied)
	}
	return &scaled
}

// Capacity returns the rate in requests per second over all services at which the
// service with the highest utilization uses all of its slots. targets is the
// number of targets by service; the default is Service.Targets.
func (w *Workload) Capacity(targets map[string]int, slots int) float64 {
	capacity := 0.0
	for _, service := range w.services {
		count, ok := targets[service.name]
		if !ok {
			count = service.targets
		}
		rate := float64(count*slots) / service.MeanServiceTime().Seconds() / service.share
		if capacity == 0 || rate < capacity {
			capacity = rate
		}
	}
	return capacity
}

func (w *Workload) service(name string) (*Service, bool) {
	for _, service := range w.services {
		if service.name == name {
			return service, true
		}
	}
	return nil, false
}

// Named returns the built-in workload with the given name, or an error if there
// is none.
func Named(name string) (*Workload, error) {
	switch name {
	case "caroni":
		return caroni(), nil
	case "tomor":
		return tomor(), nil
	}
	return nil, errors.Newf("unknown workload %q: want %s", name, strings.Join(Names(), " or "))
}

// Names returns the sorted names of the built-in workloads.
func Names() []string {
	names := []string{"caroni", "tomor"}
	sort.Strings(names)
	return names
}

// Path returns the path and query of the operation. Stand-in targets read the
// service time in milliseconds and the response size from the query.
func (o *Operation) Path() string {
	path := fmt.Sprintf("%s?ms=%g", o.path, o.serviceTime.Seconds()*1000)
	if o.size > 0 {
		path += fmt.Sprintf("&size=%d", o.size)
	}
	return path
}
