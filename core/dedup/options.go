package dedup

// Defaults of Options.
const (
	// DefaultMaxIDs is the default of Options.MaxIDs.
	DefaultMaxIDs = 1 << 18
	// MaxResponseBytes is the size of the largest response body that is stored for
	// retries.
	MaxResponseBytes = 4 << 10
	// DefaultMaxTotalResponseBytes is the default of Options.MaxTotalResponseBytes.
	DefaultMaxTotalResponseBytes = 16 << 20

	// maxReadyShards bounds the number of shards that are marked as ready.
	maxReadyShards = 1 << 14
)

// Options configures a Table. Zero fields take their defaults.
type Options struct {
	// MaxIDs is the maximum number of ids that a host remembers, over all targets.
	MaxIDs int
	// MaxTotalResponseBytes is the maximum total size of the stored response bodies.
	MaxTotalResponseBytes int
}

func (o Options) withDefaults() Options {
	if o.MaxIDs == 0 {
		o.MaxIDs = DefaultMaxIDs
	}
	if o.MaxTotalResponseBytes == 0 {
		o.MaxTotalResponseBytes = DefaultMaxTotalResponseBytes
	}
	return o
}
