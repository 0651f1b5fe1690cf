package log

import (
	"time"

	"golang.org/x/time/rate"

	"pineturn/core/clock"
)

// Limits of the service.
const (
	// maxRecordBytes is the largest record that an append accepts.
	maxRecordBytes = 1 << 20
	// defaultMax is how many records a read returns when it names no limit.
	defaultMax = 100
	// maxWait bounds how long a read waits for a record.
	maxWait = 30 * time.Second
)

// Option changes a setting of a Service.
type Option func(*Service)

// WithClock sets the clock by which records age; the system's by default.
func WithClock(clock clock.Clock) Option {
	return func(s *Service) { s.clock = clock }
}

// WithRetain drops records older than age; 0 keeps them whatever their age.
func WithRetain(age time.Duration) Option {
	return func(s *Service) { s.retain = age }
}

// WithRetainRecords keeps at most count records in each stream; 0 keeps all.
func WithRetainRecords(count int) Option {
	return func(s *Service) { s.retainRecords = count }
}

// WithAppendRate limits the appends to perSecond in all; 0 sets no limit.
func WithAppendRate(perSecond float64) Option {
	return func(s *Service) {
		if perSecond > 0 {
			s.limiter = rate.NewLimiter(rate.Limit(perSecond), 1)
		}
	}
}
