package balance

const (
	// OverloadRatio is the ratio of the utilization of a target to the mean
	// utilization above which shards are moved off the target.
	OverloadRatio = 1.25
	// StopRatio is the ratio of utilization to the mean at which rebalancing
	// stops. The distance to OverloadRatio keeps noise in the measured loads
	// from moving shards back.
	StopRatio = 1.08
	// splitLoadFraction is the minimum load of a hot key that is split off its
	// shard, as a fraction of the load of its target at mean utilization.
	splitLoadFraction = 0.08
	// maxSplits is the maximum number of splits of one plan.
	maxSplits = 4
	// coldCapacityFraction is the fraction of the slots of a cold target that a
	// plan uses.
	coldCapacityFraction = 0.25
	// coldMoves is the maximum number of moves to a cold target in one plan. It
	// does not limit shards without a usable owner, nor shards of draining
	// targets for which no ready target is eligible.
	coldMoves = 1
	// placementExtraFraction is the load that is added to each shard during
	// placement, as a fraction of the mean load of a shard, so that idle shards
	// are spread evenly too.
	placementExtraFraction = 0.25
	// assumedKeys is the number of keys assumed for a range shard whose number
	// of keys is unknown.
	assumedKeys = 16
	// churnCost converts the fraction of all keys that a move takes to another
	// owner into the fraction of the total load that the move must take off the
	// overloaded target, at equal weights.
	churnCost = 0.1
	// handoverCost is the same factor for the fraction of the load that waits
	// during the handover of a shard. It is the duration of a handover divided
	// by the duration of the gain.
	handoverCost = 0.25 / 60
)
