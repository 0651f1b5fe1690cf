package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault or of planned work.
type Kind string

// Kinds of planned work.
const (
	// HostStop stops a host in good order and starts it again.
	HostStop Kind = "host-stop"
	// HostReload has a host read its settings again.
	HostReload Kind = "host-reload"
	// Configure publishes a version with one more route.
	Configure Kind = "configure"
	// TargetDrain has a target announce that it leaves, and end later.
	TargetDrain Kind = "target-drain"
)

// Kinds of faults.
const (
	HostKill     Kind = "host-kill"
	HostPause    Kind = "host-pause"
	AllHostsKill Kind = "all-hosts-kill"
	TargetKill   Kind = "target-kill"
	TargetPause  Kind = "target-pause"
	// LinkCut resets a host's connections to the store and refuses new ones,
	// LinkSilent carries nothing more on those that are open, LinkStall nothing
	// on any, LinkSlow delays all.
	LinkCut    Kind = "link-cut"
	LinkSilent Kind = "link-silent"
	LinkStall  Kind = "link-stall"
	LinkSlow   Kind = "link-slow"
	// StoreBusy has the store refuse all calls, StoreReset reset them,
	// StoreSilent answer none, StoreLost lose and delay answers.
	StoreBusy   Kind = "store-busy"
	StoreReset  Kind = "store-reset"
	StoreSilent Kind = "store-silent"
	StoreLost   Kind = "store-lost"
	// StoreExpire deletes all history, StoreDeal deals the choice of the host
	// that leads anew.
	StoreExpire Kind = "store-expire"
	StoreDeal   Kind = "store-deal"
)

var planned = []Kind{HostStop, HostReload, Configure, TargetDrain}

var faults = []Kind{
	HostKill, HostPause, AllHostsKill, TargetKill, TargetPause, LinkCut, LinkSilent, LinkStall, LinkSlow,
	StoreBusy, StoreReset, StoreSilent, StoreLost, StoreExpire, StoreDeal,
}

// Planned reports whether the kind is work that callers must not notice.
func (k Kind) Planned() bool { return slices.Contains(planned, k) }

// Step is one fault or piece of planned work.
type Step struct {
	Kind Kind
	// At is the time from the start, For how long it lasts.
	At, For time.Duration
	// Which names the host or target, modulo their number.
	Which int
}

const (
	// leastFor and mostFor bound how long a fault lasts.
	leastFor = 200 * time.Millisecond
	mostFor  = 4 * time.Second
	// seriesGap is the longest time between the steps of a series.
	seriesGap = 700 * time.Millisecond
	// plannedShare is the share of steps that are planned work, and seriesShare
	// that of steps that follow one of the same kind.
	plannedShare = 0.4
	seriesShare  = 0.3
	// stepsASecond is the mean number of steps.
	stepsASecond = 0.7
)

// Plan returns the steps of a seed, in their order: they come in series and
// overlap.
func Plan(seed uint64, duration time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, seed))
	count := max(3, int(duration.Seconds()*stepsASecond))
	var steps []Step
	for len(steps) < count {
		step := drawStep(random, duration)
		steps = append(steps, step)
		for random.Float64() < seriesShare {
			step.At += time.Duration(random.Int64N(int64(seriesGap)))
			step.Which++
			steps = append(steps, step)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

func drawStep(random *rand.Rand, duration time.Duration) Step {
	kinds := faults
	if random.Float64() < plannedShare {
		kinds = planned
	}
	return Step{
		Kind:  kinds[random.IntN(len(kinds))],
		At:    time.Duration(random.Int64N(int64(duration))),
		For:   leastFor + time.Duration(random.Int64N(int64(mostFor-leastFor))),
		Which: random.IntN(1 << 10),
	}
}
