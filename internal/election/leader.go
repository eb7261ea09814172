package election

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

// Leader is the record that the elected process stores about itself.
type Leader struct {
	Host string `json:"host"`
	// Addr is the address on which the leader accepts messages from other processes.
	Addr string `json:"addr"`
	// ID identifies the election. Revisions and leases do not, because they are given out again by a restored store.
	ID string `json:"id"`
	// Era is the era of the store in which the leader was elected, as far as it knew.
	Era kv.Era `json:"era"`
}

// DecodeLeader decodes a leader record.
func DecodeLeader(value []byte) (Leader, error) {
	var leader Leader
	err := json.Unmarshal(value, &leader)
	return leader, errors.Wrap(err, "decode leader record; waiting for its lease to expire")
}

// Ended reports whether a record in a restored store is of an election that is known to have ended: before an era, or of
// an earlier process on the given host.
func (l Leader) Ended(host string, before kv.Era) bool { return l.Era < before || l.Host == host }
