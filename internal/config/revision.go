package config

import "github.com/cockroachdb/errors"

// ErrDuplicateRevision is returned for two different configurations with one revision. The store gives each
// revision once, so one of them was written around it.
var ErrDuplicateRevision = errors.New("two configurations have the same revision and different ids; " +
	"accept a further revision, which supersedes both")

// ErrNotAccepted is returned for a configuration without a revision or id.
var ErrNotAccepted = errors.New("configuration has no revision or no id; accept it first")

// Supersedes reports whether candidate replaces current. The greatest revision wins. current may be nil.
func Supersedes(candidate, current *Config) (bool, error) {
	if candidate.Revision == 0 || candidate.ID == "" {
		return false, ErrNotAccepted
	}
	if current == nil {
		return true, nil
	}
	if candidate.Revision == current.Revision && candidate.ID != current.ID {
		return false, errors.Wrapf(ErrDuplicateRevision, "revision %d has the ids %q and %q", current.Revision, current.ID, candidate.ID)
	}
	return candidate.Revision > current.Revision, nil
}

// StoreKey returns the key of a team's configuration in the platform's store.
func StoreKey(team string) string { return "teams/" + team + "/config" }
