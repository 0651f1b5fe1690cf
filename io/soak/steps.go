package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault or planned operation.
type Kind string

// Kinds of planned operations.
const (
	// HostStop stops a host gracefully and restarts it.
	HostStop Kind = "host-stop"
	// HostReload makes a host reload its settings.
	HostReload Kind = "host-reload"
	// PublishConfig publishes a version of the configuration with one more route.
	PublishConfig Kind = "configure"
	// TargetDrain drains a target and ends it later.
	TargetDrain Kind = "target-drain"
)

// Kinds of faults.
const (
	HostKill     Kind = "host-kill"
	HostPause    Kind = "host-pause"
	AllHostsKill Kind = "all-hosts-kill"
	TargetKill   Kind = "target-kill"
	TargetPause  Kind = "target-pause"
	// TargetLimit makes a target name a limit of requests a second.
	TargetLimit Kind = "target-limit"
	// TargetLeave makes a target say in its responses that it leaves, and TargetRest refuse
	// all requests and ask for a rest.
	TargetLeave Kind = "target-leave"
	TargetRest  Kind = "target-rest"
	// EntryOfOther puts an entry of another writer beside those of the targets: one with the address of
	// a live target, and one that can't be read.
	EntryOfOther Kind = "entry-of-other"
	// RestartUnseen starts a target with keys again while the store is away. Its first entry says that it drains.
	RestartUnseen Kind = "restart-unseen"
	// DomainDrain drains a failure domain on the operator's request, and takes it back.
	DomainDrain Kind = "domain-drain"
	// ServiceLose makes all targets of a service lose all responses.
	ServiceLose Kind = "service-lose"
	// LinkCut resets the connections of a host to the store and refuses new ones.
	// LinkSilent stops all data on the open connections; new connections work.
	// LinkStall stops all data on open and new connections. LinkSlow delays all
	// data.
	LinkCut    Kind = "link-cut"
	LinkSilent Kind = "link-silent"
	LinkStall  Kind = "link-stall"
	LinkSlow   Kind = "link-slow"
	// StoreBusy makes the store refuse all requests with status 503. StoreReset
	// makes it reset the connections of all requests. StoreSilent makes it send no
	// responses. StoreLost makes it process some POST requests without a response, and
	// some of these late.
	StoreBusy   Kind = "store-busy"
	StoreReset  Kind = "store-reset"
	StoreSilent Kind = "store-silent"
	StoreLost   Kind = "store-lost"
	// StoreExpire deletes the history of the store. StoreRebalance assigns the
	// partitions of the store, by which the leader is chosen, to other hosts.
	StoreExpire    Kind = "store-expire"
	StoreRebalance Kind = "store-deal"
)

var planned = []Kind{HostStop, HostReload, PublishConfig, TargetDrain}

var faults = []Kind{
	HostKill, HostPause, AllHostsKill, TargetKill, TargetPause, TargetLimit, ServiceLose, LinkCut, LinkSilent, LinkStall, LinkSlow,
	StoreBusy, StoreReset, StoreSilent, StoreLost, StoreExpire, StoreRebalance,
}

// requested are what targets ask for in their responses, and the operator in the store. They are drawn apart from the others,
// so that the steps of a seed stay as they were.
var requested = []Kind{TargetLeave, TargetRest, DomainDrain}

// unseen are faults of which the store shows nothing for a while, drawn apart as well.
var unseen = []Kind{RestartUnseen}

// written is what another writer puts into the store, drawn apart as well.
var written = []Kind{EntryOfOther}

// Planned reports whether the kind is a planned operation, which must not affect
// callers.
func (k Kind) Planned() bool { return k == DomainDrain || slices.Contains(planned, k) }

// Step is one fault or planned operation.
type Step struct {
	Kind Kind
	// Start is relative to the start of the steps. Length is the duration of the
	// step.
	Start, Length time.Duration
	// Index selects the host or target, modulo their number.
	Index int
}

const (
	// minLength and maxLength bound the length of a step.
	minLength = 200 * time.Millisecond
	maxLength = 4 * time.Second
	// maxSeriesGap is the maximum time between the starts of two successive steps
	// of a series.
	maxSeriesGap = 700 * time.Millisecond
	// plannedShare is the probability that a step is a planned operation.
	plannedShare = 0.4
	// seriesShare is the probability that a step is followed by another one of the
	// same kind.
	seriesShare = 0.3
	// stepsPerSecond is the approximate number of steps per second of the duration.
	stepsPerSecond = 0.7
)

// GenerateSteps returns the steps of a seed in the order of their start times.
// Steps may overlap. Some form a series: steps of the same kind in quick
// succession, each with the next index.
func GenerateSteps(seed uint64, duration time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, seed))
	count := max(3, int(duration.Seconds()*stepsPerSecond))
	var steps []Step
	for len(steps) < count {
		step := randomStep(random, duration)
		steps = append(steps, step)
		for random.Float64() < seriesShare {
			step.Start += time.Duration(random.Int64N(int64(maxSeriesGap)))
			step.Index++
			steps = append(steps, step)
		}
	}
	steps = append(steps, drawnApart(seed, 1, requested, duration)...)
	steps = append(steps, drawnApart(seed, 2, written, duration)...)
	steps = append(steps, drawnApart(seed, 3, unseen, duration)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// drawnApart returns one step of each of some kinds. The stream keeps their draws from those of other kinds.
func drawnApart(seed, stream uint64, kinds []Kind, duration time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, seed+stream))
	var steps []Step
	for _, kind := range kinds {
		step := randomStep(random, duration)
		step.Kind = kind
		steps = append(steps, step)
	}
	return steps
}

func randomStep(random *rand.Rand, duration time.Duration) Step {
	kinds := faults
	if random.Float64() < plannedShare {
		kinds = planned
	}
	return Step{
		Kind:   kinds[random.IntN(len(kinds))],
		Start:  time.Duration(random.Int64N(int64(duration))),
		Length: minLength + time.Duration(random.Int64N(int64(maxLength-minLength))),
		Index:  random.IntN(1 << 10),
	}
}
