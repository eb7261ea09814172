package cell

// faults disables one safety rule each, so that a test can show that the checker notices. It is never set
// outside tests.
type faults struct {
	// actBeyondLease breaks A1: the holder acts after its lease.
	actBeyondLease bool
	// claimAtOnce breaks A2: the successor claims without its wait.
	claimAtOnce bool
	// grantEveryClaim breaks A3: the arbiter grants each claim.
	grantEveryClaim bool
	// newArbiterOnly breaks A6: the holder relies on the proposed arbiter before the acknowledgement.
	newArbiterOnly bool
	// noRecoveryWait breaks the wait of A8.
	noRecoveryWait bool
	// noPoll breaks the condition of A8: recovery does not ask the members.
	noPoll bool
	// leaseFromReceipt breaks H1: the home lease counts from the receipt of the reply.
	leaseFromReceipt bool
	// noHomeWait breaks H3: servers of a silent home move at once.
	noHomeWait bool
	// leaseDisplaced breaks H3: a home gets a lease before the loss of its servers is published.
	leaseDisplaced bool
	// ackAfterClaim breaks the rule that a successor withdraws its claim before it acknowledges a renewal.
	ackAfterClaim bool
	// publishUnacked breaks H7: the holder publishes what the successor does not have.
	publishUnacked bool
	// selfLeaseUnbounded breaks H1: the holder's own home lease outlives its authority.
	selfLeaseUnbounded bool
	// noPromise breaks A8: a polled member does not promise to take no authority.
	noPromise bool
	// noRights breaks the condition that another cell released a partition.
	noRights bool
	// noRelease breaks H4: a partition moves without a release.
	noRelease bool
	// acceptOldTerms breaks the rule that messages of a lower generation and term are ignored.
	acceptOldTerms bool
}
