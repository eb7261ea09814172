package cell

import "time"

// Constants of the protocol. docs/design.md gives the rules (A1 to A8, H1 to H7) that use them.
const (
	// AuthorityLease is the lease of the holder's authority.
	AuthorityLease = 600 * time.Millisecond
	// HomeLease is the lease of a home.
	HomeLease = 600 * time.Millisecond
	// HeartbeatInterval is the interval between heartbeats, and between renewals.
	HeartbeatInterval = 150 * time.Millisecond
	// MaxClockSkew is the largest difference between two wall clocks of gateways and backend servers.
	MaxClockSkew = 50 * time.Millisecond
	// SuspectAfter is the silence before a peer is suspected.
	SuspectAfter = 400 * time.Millisecond
	// IncludedRunTime is the longest execution of a request that the leases cover. A service with a longer
	// one adds the excess to its waits.
	IncludedRunTime = 400 * time.Millisecond

	// TickInterval is the longest interval between calls of Tick.
	TickInterval = 25 * time.Millisecond

	// driftPercent is the drift between the rates of two monotonic clocks.
	driftPercent = 1

	// urgentInterval is the shortest interval between a heartbeat and one that carries an urgent report.
	urgentInterval = 20 * time.Millisecond
	// claimRetry is the interval between repeats of a claim without a decision.
	claimRetry = 50 * time.Millisecond
	// storeClaimRetry is the interval between repeats of a claim in the store without a result.
	storeClaimRetry = 200 * time.Millisecond
	// locateInterval is the interval between questions for the holder.
	locateInterval = 150 * time.Millisecond
	// locateFor is the time without a holder after which a member looks at the store.
	locateFor = 450 * time.Millisecond
	// pollTimeout bounds one round of polls.
	pollTimeout = 400 * time.Millisecond
	// pollBackoffMax bounds the random delay between rounds of polls, so that members do not collide.
	pollBackoffMax = 500 * time.Millisecond
	// giveUpAfter is the time without a decision on its claim after which a survivor gives up its authority.
	giveUpAfter = 1500 * time.Millisecond
	// handoverRetry is the interval between repeats of a handover.
	handoverRetry = 50 * time.Millisecond
	// probeInterval is the interval between probes of gateways of other cells.
	probeInterval = 400 * time.Millisecond
	// probeFresh is the age up to which the answer to a probe shows that an arbiter is alive.
	probeFresh = 1300 * time.Millisecond
	// storeProbeInterval is the interval between reads that show that the store is up, while it is or may become the
	// arbiter. 917 cells with the store as arbiter cause 917 reads a second.
	storeProbeInterval = time.Second
	// storeFresh is the age up to which an answer of the store shows that it is up.
	storeFresh = 3 * time.Second
	// storeTimeout bounds a store request whose result is not reported.
	storeTimeout = 2 * time.Second
	// tableWriteInterval is the shortest interval between two writes of the table to the store.
	tableWriteInterval = 5 * time.Second
	// loadInterval is the interval between load reports to the holder.
	loadInterval = 5 * time.Second
	// syncInterval is the interval between comparisons of the table with the configuration and planned stops.
	syncInterval = 250 * time.Millisecond
	// stopLead is the time before a planned stop at which its target counts as leaving.
	stopLead = 5 * time.Second
	// storeBackoff is the interval between attempts at a write that failed.
	storeBackoff = time.Second
	// keyLoadFresh is the age up to which the report on a hot key counts.
	keyLoadFresh = 2*loadInterval + time.Second
	// rightsInterval is the interval between questions to another cell for the partitions that it still holds.
	rightsInterval = 300 * time.Millisecond
	// noticeInterval bounds the answers to members that use an outdated term.
	noticeInterval = 100 * time.Millisecond

	// maxLoadRows bounds the partitions in one load report of one home, for the traffic of the holder.
	maxLoadRows = 48
	// milli is the resolution of reported load, in parts of a slot.
	milli = 1000
	// maxKeyRows bounds the hot keys in one load report of one home.
	maxKeyRows = 8
	// maxReleasing bounds the partitions of one service that release at the same time for balance.
	maxReleasing = 256
	// maxOverrides bounds the hot keys of a cell.
	maxOverrides = 1024
	// maxLogBatches bounds the changes kept for members that are behind; others get the whole table.
	maxLogBatches = 256
	// maxRegisterEntries bounds the claims that an arbiter remembers of one cell.
	maxRegisterEntries = 8
	// sentHeartbeats is the number of heartbeats, and of renewals, whose send time is remembered. At urgentInterval
	// they cover more than a lease.
	sentHeartbeats = 64
	// maxProbedHosts bounds the gateways of other cells that a holder probes at a time.
	maxProbedHosts = 2

	// frameOverhead is the size of the framing of one message, in bytes: 5 of the frame and 12 of the session.
	frameOverhead = 17
)

// StoreArbiter is the host name of the arbiter when it is the platform's store.
const StoreArbiter = "store"

// withDrift returns the time to wait on this clock so that d has passed on any other.
func withDrift(d time.Duration) time.Duration {
	return d + d*driftPercent/100
}

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)
