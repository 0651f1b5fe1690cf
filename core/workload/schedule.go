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
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the length of the schedule.
	Duration time.Duration
	// HotSetPeriod is the time between moves of the hot set.
	HotSetPeriod time.Duration
	// Run is the prefix of all request ids. It makes the ids of different runs
	// distinct.
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

// Due returns the time from the start of the schedule at which the request is to
// be sent.
func (r *Request) Due() time.Duration { return r.due }

// ID returns the id of the request, which is the same for all attempts.
func (r *Request) ID() string { return r.id }

// Key returns the key that the request is for.
func (r *Request) Key() string { return r.key }

// Service returns the name of the service that the request is for.
func (r *Request) Service() string { return r.service.name }

// Operation returns the operation that the request asks for.
func (r *Request) Operation() *Operation { return r.operation }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.operation.method }

// Schedule generates the requests of a run in the order of their due times. It is
// not safe for concurrent use.
type Schedule struct {
	options    Options
	workload   *Workload
	random     *rand.Rand
	keyPickers []*keyPicker
	now        time.Duration
	count      int
}

// NewSchedule returns a schedule for workload. The same options give the same
// schedule. It returns an error if the rate or the hot set period is not positive.
func NewSchedule(workload *Workload, options Options) (*Schedule, error) {
	if options.Rate <= 0 {
		return nil, errors.Newf("schedule: rate is %v, want more than 0", options.Rate)
	}
	if options.HotSetPeriod <= 0 {
		return nil, errors.Newf("schedule: hot set period is %v, want more than 0", options.HotSetPeriod)
	}
	schedule := &Schedule{
		options: options, workload: workload,
		random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
	for i, service := range workload.services {
		random := rand.New(rand.NewPCG(options.Seed, uint64(i+1)))
		schedule.keyPickers = append(schedule.keyPickers, newKeyPicker(service.keys, workload.hotShare, random))
	}
	return schedule, nil
}

// Next returns the next request, or false if the schedule has ended. The times
// between requests are exponentially distributed: arrivals are a Poisson process.
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
		key:       s.keyPickers[index].pick(phase),
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
