package dedup

import "time"

// Defaults of Options.
const (
	// DefaultMost is how many ids a host remembers for all targets together.
	DefaultMost = 1 << 18
	// DefaultWindow is how long an id is remembered when the service states
	// no time.
	DefaultWindow = 10 * time.Minute
	// MaxAnswer is the largest answer body that is kept for a retry, in bytes.
	MaxAnswer = 4 << 10
	// DefaultMostAnswers bounds the bytes of kept answers in all.
	DefaultMostAnswers = 16 << 20

	// maxReady bounds how many shards are known to be collected.
	maxReady = 1 << 14
)

// Options tunes a Memory; a zero field takes its default.
type Options struct {
	Most        int
	MostAnswers int
}

func (o Options) withDefaults() Options {
	if o.Most == 0 {
		o.Most = DefaultMost
	}
	if o.MostAnswers == 0 {
		o.MostAnswers = DefaultMostAnswers
	}
	return o
}
