package balance

import "github.com/cespare/xxhash/v2"

// PickByIdentity returns the server that handles a request identity, by rendezvous hashing. Only the home that
// saw an identity before can recognize a retry, so requests that must run once and have an identity are not
// sent to a random server. It returns "" if there are no servers.
func PickByIdentity(subscriber, identity string, names []string) string {
	best, bestHash := "", uint64(0)
	var digest xxhash.Digest
	for _, name := range names {
		digest.Reset()
		_, _ = digest.WriteString(subscriber + "\x00" + identity + "\x00" + name) // never fails
		if hash := digest.Sum64(); best == "" || hash > bestHash || (hash == bestHash && name < best) {
			best, bestHash = name, hash
		}
	}
	return best
}
