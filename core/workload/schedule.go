package workload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Options are the settings of a schedule.
type Options struct {
	// Seed makes the schedule repeatable.
	Seed uint64
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration is the length of the schedule.
	Duration time.Duration
	// HotSetPeriod is how long the hot set stays before it moves.
	HotSetPeriod time.Duration
	// Run is put before every request id, so that runs do not share ids.
	Run string
}

// Request is one request of a schedule.
type Request struct {
	due       time.Duration
	id        string
	key       string
	service   *Service
	operation *Operation
}

// Due is when the request is to be sent, from the start of the schedule.
func (r *Request) Due() time.Duration { return r.due }

// ID is the request's id, the same for each attempt.
func (r *Request) ID() string { return r.id }

// Key is the key that the request concerns.
func (r *Request) Key() string { return r.key }

// Service names the service that the request goes to.
func (r *Request) Service() string { return r.service.name }

// Operation is what the request asks for.
func (r *Request) Operation() *Operation { return r.operation }

// Method is the HTTP method.
func (r *Request) Method() string { return r.operation.method }

// Schedule yields the requests of a run in the order of their due times. It
// is not safe for concurrent use.
type Schedule struct {
	options  Options
	workload *Workload
	random   *rand.Rand
	pickers  []*picker
	now      time.Duration
	count    int
}

// NewSchedule returns the schedule that the seed of options determines.
func NewSchedule(workload *Workload, options Options) (*Schedule, error) {
	if options.Rate <= 0 {
		return nil, errors.Newf("schedule: rate %v, want more than 0", options.Rate)
	}
	if options.HotSetPeriod <= 0 {
		return nil, errors.Newf("schedule: shift %v, want more than 0", options.HotSetPeriod)
	}
	schedule := &Schedule{
		options: options, workload: workload,
		random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
	for i, service := range workload.services {
		random := rand.New(rand.NewPCG(options.Seed, uint64(i+1)))
		schedule.pickers = append(schedule.pickers, newPicker(service.keys, workload.hotShare, random))
	}
	return schedule, nil
}

// Next returns the next request, or false when the schedule has ended. The
// gaps between requests are exponential: arrivals are a Poisson process.
func (s *Schedule) Next() (*Request, bool) {
	s.now += time.Duration(s.random.ExpFloat64() / s.options.Rate * float64(time.Second))
	if s.now >= s.options.Duration {
		return nil, false
	}
	s.count++
	index := s.pickService()
	service := s.workload.services[index]
	phase := int(s.now / s.options.HotSetPeriod)
	return &Request{
		due:       s.now,
		id:        fmt.Sprintf("%s-%d", s.options.Run, s.count),
		key:       s.pickers[index].pick(phase),
		service:   service,
		operation: pickOperation(service, s.random.Float64()),
	}, true
}

func (s *Schedule) pickService() int {
	draw := s.random.Float64()
	for i, service := range s.workload.services {
		draw -= service.share
		if draw < 0 {
			return i
		}
	}
	return len(s.workload.services) - 1
}

func pickOperation(service *Service, draw float64) *Operation {
	for _, operation := range service.operations {
		draw -= operation.share
		if draw < 0 {
			return operation
		}
	}
	return service.operations[len(service.operations)-1]
}
