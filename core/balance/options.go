package balance

const (
	// OverloadRatio is the largest load of a target, over the mean, that is left
	// alone.
	OverloadRatio = 1.25
	// StopRatio is the load over the mean at which levelling stops. The distance
	// to Bound keeps noise in the measured loads from moving shards back.
	StopRatio = 1.08
	// splitShare is the load of a key, as a part of a target's mean load, from
	// which on it is split off.
	splitShare = 0.08
	// maxSplits bounds the splits of one plan.
	maxSplits = 4
	// coldCapacity is the part of its capacity that a cold target counts for.
	coldCapacity = 0.25
	// coldMoves bounds the moves to a cold target in one plan.
	coldMoves = 1
	// placeFloor is the least load that counts when a shard is placed, as a
	// part of the mean load of a shard, so that idle shards spread evenly too.
	placeFloor = 0.25
	// unknownKeys stands for the number of keys of a range shard that is not
	// known.
	unknownKeys = 16
	// churnCost scales the part of the keys that a move takes to the part of the load
	// that it must take off the overloaded target, at equal weights.
	churnCost = 0.1
	// handoverCost is the same for the load that waits while a shard is
	// handed over: the length of a handover over that of the gain.
	handoverCost = 0.25 / 60
)
