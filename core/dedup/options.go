package dedup

import "time"

// Defaults of Options.
const (
	// DefaultMaxIDs is the default of Options.MaxIDs.
	DefaultMaxIDs = 1 << 18
	// DefaultWindow is the time for which an id is remembered if the service does
	// not configure one.
	DefaultWindow = 10 * time.Minute
	// MaxAnswerBytes is the size of the largest answer body that is stored for
	// retries.
	MaxAnswerBytes = 4 << 10
	// DefaultMaxTotalAnswerBytes is the default of Options.MaxTotalAnswerBytes.
	DefaultMaxTotalAnswerBytes = 16 << 20

	// maxReadyShards bounds the number of shards that are marked as ready.
	maxReadyShards = 1 << 14
)

// Options configures a Table. Zero fields take their defaults.
type Options struct {
	// MaxIDs is the maximum number of ids that a host remembers, over all targets.
	MaxIDs int
	// MaxTotalAnswerBytes is the maximum total size of the stored answer bodies.
	MaxTotalAnswerBytes int
}

func (o Options) withDefaults() Options {
	if o.MaxIDs == 0 {
		o.MaxIDs = DefaultMaxIDs
	}
	if o.MaxTotalAnswerBytes == 0 {
		o.MaxTotalAnswerBytes = DefaultMaxTotalAnswerBytes
	}
	return o
}
