package cell

import "time"

// Timing and size limits of the protocol. docs/design.md defines the rules A1 to A8 and H1 to H7 that use them.
const (
	// AuthorityLease is the duration of the lease under which a holder acts as authority of its cell.
	AuthorityLease = 600 * time.Millisecond
	// HomeLease is the duration of the lease under which a home uses its backend servers.
	HomeLease = 600 * time.Millisecond
	// HeartbeatInterval is the interval between heartbeats to the holder, and between renewals to the successor.
	HeartbeatInterval = 150 * time.Millisecond
	// MaxClockSkew is the largest difference between any two wall clocks of gateways and backend servers.
	MaxClockSkew = 50 * time.Millisecond
	// SuspectAfter is how long a peer may send nothing before it is suspected to have failed.
	SuspectAfter = 400 * time.Millisecond
	// IncludedRunTime is the longest run time of a request that the leases allow for. A service with a longer run
	// time adds the excess to its waits.
	IncludedRunTime = 400 * time.Millisecond

	// TickInterval is the longest interval between calls of Tick.
	TickInterval = 25 * time.Millisecond

	// driftPercent is the largest drift between the rates of two monotonic clocks, in percent.
	driftPercent = 1

	// urgentReportInterval is the shortest interval between a heartbeat and another one that carries an urgent report.
	urgentReportInterval = 20 * time.Millisecond
	// claimRetryInterval is the interval at which an undecided claim is sent again.
	claimRetryInterval = 50 * time.Millisecond
	// storeClaimRetryInterval is the interval at which an undecided claim in the store is tried again.
	storeClaimRetryInterval = 200 * time.Millisecond
	// locateInterval is the interval between Locate messages of a gateway that has no live holder.
	locateInterval = 150 * time.Millisecond
	// locateTimeout is the time without a holder after which a member starts a recovery from the store.
	locateTimeout = 450 * time.Millisecond
	// pollTimeout bounds one round of polls.
	pollTimeout = 400 * time.Millisecond
	// maxPollBackoff bounds the random delay between recovery attempts, which keeps members from colliding.
	maxPollBackoff = 500 * time.Millisecond
	// claimTimeout is how long a holder after the end of its lease, or a successor after the start of its claim, waits
	// for a decision before it may give up its role for a recovery.
	claimTimeout = 1500 * time.Millisecond
	// handoverRetryInterval is the interval at which a handover is sent again.
	handoverRetryInterval = 50 * time.Millisecond
	// probeInterval is the interval between probes of gateways in other cells.
	probeInterval = 400 * time.Millisecond
	// probeMaxAge is the age up to which a probe answer shows that an arbiter is alive.
	probeMaxAge = 1300 * time.Millisecond
	// storeProbeInterval is the interval between reads that check the availability of the store, while it is the
	// arbiter or a candidate for it. 917 cells with the store as arbiter cause 917 reads a second.
	storeProbeInterval = time.Second
	// storeMaxAge is the age up to which a response of the store shows that it is available.
	storeMaxAge = 3 * time.Second
	// storeTimeout bounds a store request whose result is not reported.
	storeTimeout = 2 * time.Second
	// tableWriteInterval is the shortest interval between two writes of the table to the store.
	tableWriteInterval = 5 * time.Second
	// loadReportInterval is the interval between load reports to the holder.
	loadReportInterval = 5 * time.Second
	// configSyncInterval is the interval at which the table is compared with the configuration and the planned stops.
	configSyncInterval = 250 * time.Millisecond
	// plannedStopLead is how long before a planned stop its target is already treated as leaving.
	plannedStopLead = 5 * time.Second
	// storeRetryInterval is the interval between attempts at a write that failed.
	storeRetryInterval = time.Second
	// keyLoadMaxAge is the age up to which a load report on a hot key is used.
	keyLoadMaxAge = 2*loadReportInterval + time.Second
	// rightsInterval is the interval between queries to other cells for the partitions that they still hold.
	rightsInterval = 300 * time.Millisecond
	// locatedReplyInterval is the shortest interval between replies to members that use an outdated term.
	locatedReplyInterval = 100 * time.Millisecond

	// maxReportedPartitions bounds the partitions in one load report of a home, to limit the traffic of the holder.
	maxReportedPartitions = 48
	// milliSlotsPerSlot is the resolution of reported load, in parts of a slot.
	milliSlotsPerSlot = 1000
	// maxReportedKeys bounds the hot keys in one load report of a home.
	maxReportedKeys = 8
	// maxBalanceMoves bounds the partitions of one service that are being moved for balance at the same time.
	maxBalanceMoves = 256
	// maxOverrides bounds the hot keys of a service that have an owner apart from their partition, and the hot keys of
	// a cell whose load is kept.
	maxOverrides = 1024
	// maxLogDeltas bounds the deltas kept for members whose table is out of date. Members further behind get the whole
	// table.
	maxLogDeltas = 256
	// maxRegisterEntries bounds the claims of one cell that an arbiter keeps.
	maxRegisterEntries = 8
	// sendTimesKept is the number of heartbeats, and of renewals, whose send time is kept. At urgentReportInterval they
	// span more than a lease.
	sendTimesKept = 64
	// maxProbedHosts bounds the gateways of other cells that a holder probes at a time.
	maxProbedHosts = 2

	// frameOverhead is the size of the framing of one message, in bytes: 5 of the frame and 12 of the session.
	frameOverhead = 17
)

// StoreArbiter is the host name that stands for the platform's store as arbiter.
const StoreArbiter = "store"

// withDrift returns how long to wait on the local monotonic clock so that at least d has passed on any other.
func withDrift(d time.Duration) time.Duration {
	return d + d*driftPercent/100
}

// noExpiry is the end of a lease without a time limit.
const noExpiry = time.Duration(1<<63 - 1)
