package daemon

import "time"

// Names of the streams of the log.
const (
	// ChangeStream holds the changes that every host folds.
	ChangeStream = "pineturn"
	// SnapshotStream holds snapshots of the folded state.
	SnapshotStream = "pineturn-snapshots"
)

// Timeouts and intervals.
const (
	// readWait is how long a read at the end of the log waits for a new record.
	readWait = 100 * time.Millisecond
	// readTimeout limits one read of the log.
	readTimeout = 6 * time.Second
	// readPause is the delay after a failed read of the log.
	readPause = 50 * time.Millisecond
	// readLimit is the maximum number of records returned by one read.
	readLimit = 256
	// appendTimeout limits one append to the log.
	appendTimeout = 10 * time.Second
	// appendHedgeDelay is the time without a response to an append after which
	// the batch is appended again, concurrently and on another connection.
	appendHedgeDelay = 1500 * time.Millisecond
	// finalResponseTime is how long before the end of a stop the last requests get their final responses. If
	// the stop timeout is short, they get them in its last 1/finalResponseDivisor.
	finalResponseTime    = 300 * time.Millisecond
	finalResponseDivisor = 6
	// leaveMembershipTimeout limits the removal from the membership during a stop.
	leaveMembershipTimeout = time.Second
	// appendRetryDelay is how long to wait, after an append has ended, for the
	// batch to be read back before it is appended again.
	appendRetryDelay = 500 * time.Millisecond
	// proposeInterval is the interval between rounds of proposals.
	proposeInterval = 25 * time.Millisecond
	// proposeTimeout limits the append of a round's operations, with retries.
	proposeTimeout = 8 * time.Second
	// orderInterval is the interval between checks for orders that are due.
	orderInterval = 10 * time.Millisecond
	// orderTimeout limits one order to a target. Three orders fit into
	// lease.DefaultSuspicionTime, the time after which a target is suspected.
	orderTimeout = 120 * time.Millisecond
	// promiseInterval is the interval between rounds in which a deputy requests
	// promises.
	promiseInterval = 100 * time.Millisecond
	// peerCallTimeout limits one call to another host: a release query, a report,
	// a round of promise requests or a query for held targets.
	peerCallTimeout = 200 * time.Millisecond
	// heartbeatTimeout limits one heartbeat.
	heartbeatTimeout = 400 * time.Millisecond
	// catchupTimeout limits one fetch of records or a snapshot from another host.
	catchupTimeout = time.Second
	// reportInterval is the interval between reports to the planner.
	reportInterval = 150 * time.Millisecond
	// hostListInterval is the interval between reads of the host list.
	hostListInterval = time.Second
	// hostListTimeout limits one read of the host list.
	hostListTimeout = time.Second
	// commandTimeout limits an operator's change, with retries.
	commandTimeout = 8 * time.Second
	// replicaRepairTimeout limits the search for witnesses, the hosts that keep
	// replicas of request ids.
	replicaRepairTimeout = 2 * time.Second
	// headerTimeout limits reading the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// handoverPollInterval is the interval at which a stopping host checks whether
	// its handover is complete.
	handoverPollInterval = 20 * time.Millisecond
)

// Limits.
const (
	// orderWorkers is the number of goroutines that send orders and release
	// queries.
	orderWorkers = 64
	// maxBatchOps is the maximum number of operations of a batch of several
	// submissions, and of those proposed per round.
	maxBatchOps = 1000
	// maxQueuedSubmissions is the capacity of the writer's queue.
	maxQueuedSubmissions = 256
	// snapshotPartSize is the maximum data size of a snapshot record, in bytes.
	snapshotPartSize = 256 << 10
	// maxDumpEntries is the maximum number of entries in each list of a state dump.
	maxDumpEntries = 1000
)

// Defaults of the settings. DefaultMaxHeaderBytes is in bytes.
const (
	DefaultSnapshotInterval = time.Minute
	DefaultStopTimeout      = 20 * time.Second
	DefaultMaxHeaderBytes   = 32 << 10
)
