package balance

import "github.com/cespare/xxhash/v2"

// PickByIdentity returns the server responsible for a request identity, chosen by rendezvous hashing. Requests that
// have an identity and must be executed at most once need a stable server, because only the home that handled
// an identity before can detect a retry. PickByIdentity returns "" if there are no servers.
func PickByIdentity(subscriber, identity string, names []string) string {
	best, bestHash := "", uint64(0)
	var digest xxhash.Digest
	for _, name := range names {
		digest.Reset()
		_, _ = digest.WriteString(subscriber + "\x00" + identity + "\x00" + name) // never returns an error
		if hash := digest.Sum64(); best == "" || hash > bestHash || (hash == bestHash && name < best) {
			best, bestHash = name, hash
		}
	}
	return best
}
