package budget

import "time"

const (
	// bucketsPerWindow is the number of counting intervals in a window.
	bucketsPerWindow = 100
	// minBucketTime bounds the number of counters for a short window.
	minBucketTime = time.Millisecond
	// maxSendDelay is the longest time that a retry is taken to need from its last Spend or
	// Renew to the target, mainly to connect. Windows are counted at the targets.
	maxSendDelay = 300 * time.Millisecond
)

// counts are the counters of one service in rings of buckets. Buckets are addressed by
// their age, the number of buckets since: 0 is the current one. Retries are kept for a
// window, the delay and the bucket that is only partly older.
type counts struct {
	bucketTime time.Duration
	// delay is maxSendDelay in buckets, rounded up.
	delay int
	// current is the number of the current bucket since the Unix epoch.
	current  int64
	requests []int
	retries  []int
}

func newCounts(window time.Duration) *counts {
	bucketTime := max(window/bucketsPerWindow, minBucketTime)
	delay := int((maxSendDelay + bucketTime - 1) / bucketTime)
	return &counts{
		bucketTime: bucketTime, delay: delay,
		requests: make([]int, bucketsPerWindow), retries: make([]int, bucketsPerWindow+delay+1),
	}
}

// at returns the counter of a bucket by its number, which is negative for those before the
// epoch.
func at(ring []int, bucket int64) *int {
	n := int64(len(ring))
	return &ring[(bucket%n+n)%n]
}

// advance makes the bucket of a time the current one and clears those in between. The
// time does not go back.
func (c *counts) advance(now time.Time) {
	bucket := now.UnixNano() / int64(c.bucketTime)
	for n := min(bucket-c.current, int64(len(c.retries))); n > 0; n-- {
		*at(c.requests, bucket-n+1) = 0
		*at(c.retries, bucket-n+1) = 0
	}
	c.current = max(c.current, bucket)
}

func (c *counts) addRequest() { *at(c.requests, c.current)++ }

func (c *counts) addRetry() { *at(c.retries, c.current)++ }

// removeRetry removes a retry that was added at a time, unless it is no longer kept.
func (c *counts) removeRetry(added time.Time) {
	bucket := added.UnixNano() / int64(c.bucketTime)
	if n := at(c.retries, bucket); c.current-bucket < int64(len(c.retries)) && *n > 0 {
		*n--
	}
}

// requestsInWindow returns the number of requests of the whole window.
func (c *counts) requestsInWindow() int {
	sum := 0
	for _, n := range c.requests {
		sum += n
	}
	return sum
}

// requestsAt returns the number of requests in the bucket of an age, and 0 outside the
// window.
func (c *counts) requestsAt(age int) int {
	if age < 0 || age >= len(c.requests) {
		return 0
	}
	return *at(c.requests, c.current-int64(age))
}

// retriesAt returns the number of retries in the bucket of an age.
func (c *counts) retriesAt(age int) int { return *at(c.retries, c.current-int64(age)) }
