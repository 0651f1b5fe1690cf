package daemon

import "time"

// Names of the log's streams.
const (
	// Stream holds the changes that every host folds.
	Stream = "pineturn"
	// SnapshotStream holds snapshots of the folded state.
	SnapshotStream = "pineturn-snapshots"
)

// Times of the daemon's parts.
const (
	// readWait is how long a read of the log's end waits for a record.
	readWait = 100 * time.Millisecond
	// readTimeout bounds one read of the log.
	readTimeout = 6 * time.Second
	// readPause is the time between a failed read and the next.
	readPause = 50 * time.Millisecond
	// readLimit is how many records one read returns at most.
	readLimit = 256
	// appendTimeout bounds one attempt to append.
	appendTimeout = 10 * time.Second
	// appendPatience is how long an attempt may go without an answer before
	// another is made beside it, on a connection of its own.
	appendPatience = 1500 * time.Millisecond
	// resignTimeout bounds the leaving of the membership at a stop.
	resignTimeout = time.Second
	// appendSettle is how long an appended batch is waited for before it is
	// sent again.
	appendSettle = 500 * time.Millisecond
	// proposeInterval is the time between two rounds of proposals.
	proposeInterval = 25 * time.Millisecond
	// proposeTimeout is how long a round's operations are pursued.
	proposeTimeout = 8 * time.Second
	// actInterval is the time between two looks for orders that are due.
	actInterval = 10 * time.Millisecond
	// orderTimeout bounds one order to a target; three fit into the time after
	// which a target is suspected.
	orderTimeout = 120 * time.Millisecond
	// candidateInterval is the time between two rounds in which a deputy asks for promises.
	candidateInterval = 100 * time.Millisecond
	// questionTimeout bounds one question about a former owner.
	questionTimeout = 200 * time.Millisecond
	// beatTimeout bounds one heartbeat.
	beatTimeout = 400 * time.Millisecond
	// catchupTimeout bounds the fetching of records from another host.
	catchupTimeout = time.Second
	// reportInterval is the time between two reports to the planner.
	reportInterval = 150 * time.Millisecond
	// listInterval is the time between two reads of the host list.
	listInterval = time.Second
	// listTimeout bounds one read of the host list.
	listTimeout = time.Second
	// commandTimeout is how long an operator's change is pursued.
	commandTimeout = 8 * time.Second
	// repairTimeout bounds the search for second hosts that remember ids.
	repairTimeout = 2 * time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 2 * time.Minute
	// leavePoll is the time between two looks whether a leaving host is done.
	leavePoll = 20 * time.Millisecond
)

// Bounds of the daemon's parts.
const (
	// orderWorkers is how many orders and questions are under way at once.
	orderWorkers = 64
	// maxOps is how many operations one batch holds at most.
	maxOps = 1000
	// maxPending is how many submissions wait for the writer at most.
	maxPending = 256
	// partSize is the data of one snapshot record, in bytes.
	partSize = 256 << 10
	// maxDump is how many entries of each kind a dump of the state lists.
	maxDump = 1000
)

// Defaults of the settings.
const (
	DefaultSnapshotInterval = time.Minute
	DefaultStopTimeout      = 20 * time.Second
	DefaultMaxHeaderBytes   = 32 << 10
)
