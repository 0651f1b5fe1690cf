// Package workload describes the requests of the two users and makes seeded
// schedules of them: open loop arrivals, Zipf popularity and a hot set of keys
// that moves. It sends nothing.
package workload

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Operation is one kind of request of a service.
type Operation struct {
	name    string
	method  string
	path    string
	once    bool
	share   float64
	service time.Duration
	size    int64
}

// Name returns the operation's name, unique within its service.
func (o *Operation) Name() string { return o.name }

// Once reports that the operation must not be repeated.
func (o *Operation) Once() bool { return o.once }

// ServiceTime is how long the target works on the operation.
func (o *Operation) ServiceTime() time.Duration { return o.service }

// Size is the length of the answer in bytes; zero for the target's short one.
func (o *Operation) Size() int64 { return o.size }

// Service is one service of a workload with its mix of operations.
type Service struct {
	name       string
	share      float64
	targets    int
	operations []*Operation
	keys       keySpace
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Share is the service's part of all requests, from 0 to 1.
func (s *Service) Share() float64 { return s.share }

// Targets is how many targets the user runs for the service.
func (s *Service) Targets() int { return s.targets }

// MeanServiceTime is the mean work of a request of the service.
func (s *Service) MeanServiceTime() time.Duration {
	mean := 0.0
	for _, operation := range s.operations {
		mean += operation.share * float64(operation.service)
	}
	return time.Duration(mean)
}

// Workload is the traffic of one user.
type Workload struct {
	name     string
	services []*Service
	slots    int
	delay    time.Duration
	hotShare float64
}

// Name returns the workload's name.
func (w *Workload) Name() string { return w.name }

// Services lists the services.
func (w *Workload) Services() []*Service { return w.services }

// Slots is how many requests each of the user's targets runs at once.
func (w *Workload) Slots() int { return w.slots }

// Delay is the one-way delay between the user's callers and hosts.
func (w *Workload) Delay() time.Duration { return w.delay }

// WithServices returns the workload with just the named services, their shares
// scaled up to 1. No names mean all services.
func (w *Workload) WithServices(names []string) (*Workload, error) {
	if len(names) == 0 {
		return w, nil
	}
	part := *w
	part.services = nil
	total := 0.0
	for _, name := range names {
		service, ok := w.service(name)
		if !ok {
			return nil, errors.Newf("workload %s has no service %q", w.name, name)
		}
		one := *service
		part.services = append(part.services, &one)
		total += one.share
	}
	for _, service := range part.services {
		service.share /= total
	}
	return &part, nil
}

// Scale multiplies the service times and the sizes of answers, so that a
// small machine can stand for many.
func (w *Workload) Scale(timeFactor, sizeFactor float64) *Workload {
	scaled := *w
	scaled.services = nil
	for _, service := range w.services {
		one := *service
		one.operations = nil
		for _, operation := range service.operations {
			op := *operation
			op.service = time.Duration(float64(op.service) * timeFactor)
			op.size = int64(float64(op.size) * sizeFactor)
			one.operations = append(one.operations, &op)
		}
		scaled.services = append(scaled.services, &one)
	}
	return &scaled
}

// Capacity is the rate, in requests a second over all services, at which the
// busiest service uses every slot, given the targets of each service.
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

// Named returns a built-in workload.
func Named(name string) (*Workload, error) {
	switch name {
	case "caroni":
		return caroni(), nil
	case "tomor":
		return tomor(), nil
	}
	return nil, errors.Newf("unknown workload %q: want %s", name, strings.Join(Names(), " or "))
}

// Names lists the built-in workloads.
func Names() []string {
	names := []string{"caroni", "tomor"}
	sort.Strings(names)
	return names
}

// Path returns the path and query that a stand-in target understands.
func (o *Operation) Path() string {
	path := fmt.Sprintf("%s?ms=%g", o.path, o.service.Seconds()*1000)
	if o.size > 0 {
		path += fmt.Sprintf("&size=%d", o.size)
	}
	return path
}
