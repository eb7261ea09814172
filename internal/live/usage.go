package live

import (
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// usage is the CPU time of the process and the number of store calls up to a point in time.
type usage struct {
	takenAt    time.Time
	cpu        time.Duration
	storeCalls uint64
}

func currentUsage(s *store.MemoryStore) usage {
	u := usage{takenAt: time.Now(), storeCalls: s.Calls().Total()}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err == nil {
		u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	return u
}

// since returns the difference from an earlier usage. Its takenAt is not set.
func (u usage) since(earlier usage) usage {
	return usage{cpu: u.cpu - earlier.cpu, storeCalls: u.storeCalls - earlier.storeCalls}
}
