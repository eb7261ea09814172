package cell

// faults disables safety rules, one per field, so that a test can show that the checker detects the violation. It is
// set only in tests.
type faults struct {
	// actAfterLease breaks A1: the holder acts after the end of its lease.
	actAfterLease bool
	// skipClaimWait breaks A2: the successor claims without waiting for the end of the holder's lease.
	skipClaimWait bool
	// grantEveryClaim breaks A3: the arbiter grants every claim.
	grantEveryClaim bool
	// askNewArbiterOnly breaks A6: the holder claims only at the proposed arbiter before the successor acknowledged it.
	askNewArbiterOnly bool
	// skipRecoveryWait breaks A8: a recovered authority does not wait for earlier leases to end.
	skipRecoveryWait bool
	// skipPoll breaks A8: a recovery does not poll the members.
	skipPoll bool
	// leaseFromReceipt breaks H1: the home lease counts from the receipt of the reply.
	leaseFromReceipt bool
	// skipHomeLeaseWait breaks H3: the servers of a silent home move before its lease ends.
	skipHomeLeaseWait bool
	// leaseBeforePublication breaks H3: a home gets a lease before the reassignment of its servers is published.
	leaseBeforePublication bool
	// acknowledgeWhileClaiming breaks A3: a successor acknowledges a renewal without withdrawing its claim.
	acknowledgeWhileClaiming bool
	// publishUnacknowledged breaks H7: the holder publishes changes that the successor does not have.
	publishUnacknowledged bool
	// unboundedSelfLease breaks H1: the home lease of the holder itself outlives its authority.
	unboundedSelfLease bool
	// skipPromise breaks A8: a polled member does not promise to take no earlier authority.
	skipPromise bool
	// skipRightsQuery lets a cell take a partition that another cell has not released.
	skipRightsQuery bool
	// skipRelease breaks H4: a partition moves without a release.
	skipRelease bool
	// acceptOldTerms breaks the rule that messages of a lower generation and term are ignored.
	acceptOldTerms bool
}
