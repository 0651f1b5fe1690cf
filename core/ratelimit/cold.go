package ratelimit

// Bound is the number of requests that a target may get in any one second while it is cold,
// from all hosts together: PerSecond x Overage + Slack. It must be kept for targets that start
// or come back while much traffic waits for them.
type Bound struct {
	// PerSecond is what the target bears for long, in requests a second; zero for no bound.
	PerSecond float64
	// Overage is the factor, Slack the number of requests beyond it.
	Overage, Slack float64
}

// Shares of the bound that hosts use: the rate of all together, and what they may save up. What
// remains is for hosts that have just lost their part, or have none yet.
const (
	coldRate  = 0.65
	coldBurst = 0.28
)

// Window returns the number of requests that the target may get in any one second.
func (b Bound) Window() float64 { return b.PerSecond*max(b.Overage, 0) + max(b.Slack, 0) }

// Limit returns the limit by which hosts keep to the bound. No limit is named without a bound.
func (b Bound) Limit() Limit {
	if !(b.PerSecond > 0) {
		return Limit{}
	}
	return Limit{Named: true, PerSecond: coldRate * b.Window(), Burst: max(coldBurst*b.Window(), 1)}
}
