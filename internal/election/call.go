package election

import "github.com/sapphireplank/sapphireplank/internal/kv"

// CallKind is the kind of a store call.
type CallKind int

// Kinds of store calls.
const (
	// CallCampaign creates a lease and writes the leader record under it.
	CallCampaign CallKind = iota
	// CallRenew renews the lease.
	CallRenew
	// CallWithdraw removes the leader record of an earlier process on this host, if its revision is still Revision.
	CallWithdraw
	// CallReclaim finds the leader record of this process in a restored store, or writes it again under a new lease.
	CallReclaim
)

// Call is a store call for the caller to execute.
type Call struct {
	Kind  CallKind
	Lease kv.LeaseID
	Value []byte
	// Revision is the revision of the record to withdraw.
	Revision kv.Revision
	// ID identifies the election to reclaim. Records of elections before EndedBefore are of leaders of which this process
	// knows that they were replaced; a restored store may contain them again.
	ID          string
	EndedBefore kv.Era
}

// CampaignResult is the result of a successful campaign, or of a record that was reclaimed.
type CampaignResult struct {
	Term  kv.Revision
	Lease kv.LeaseID
}
