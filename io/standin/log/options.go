package log

import (
	"time"

	"golang.org/x/time/rate"

	"pineturn/core/clock"
)

// Limits of the service.
const (
	// maxRecordBytes is the maximum size of a record.
	maxRecordBytes = 1 << 20
	// defaultMaxRecords is the maximum number of records in a response to a read
	// that states none. A read may state up to ten times as many.
	defaultMaxRecords = 100
	// maxWait is the maximum time for which a read waits for a record.
	maxWait = 30 * time.Second
)

// Option changes a setting of a Service.
type Option func(*Service)

// WithClock sets the clock for the age of records. The default is the system's.
func WithClock(clock clock.Clock) Option {
	return func(s *Service) { s.clock = clock }
}

// WithRetain drops records older than age. 0 sets no limit.
func WithRetain(age time.Duration) Option {
	return func(s *Service) { s.retain = age }
}

// WithRetainRecords keeps at most count records in each stream. 0 sets no limit.
func WithRetainRecords(count int) Option {
	return func(s *Service) { s.retainRecords = count }
}

// WithAppendRate limits the appends to all streams together to perSecond. 0 sets
// no limit.
func WithAppendRate(perSecond float64) Option {
	return func(s *Service) {
		if perSecond > 0 {
			s.limiter = rate.NewLimiter(rate.Limit(perSecond), 1)
		}
	}
}
