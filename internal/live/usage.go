package live

import (
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// usage is what the whole process used.
type usage struct {
	at         time.Time
	cpu        time.Duration
	storeCalls uint64
}

func currentUsage(s *store.MemoryStore) usage {
	u := usage{at: time.Now(), storeCalls: s.Calls().Total()}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err == nil {
		u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	return u
}

// since returns the usage from an earlier one on. Its time is not set.
func (u usage) since(earlier usage) usage {
	return usage{cpu: u.cpu - earlier.cpu, storeCalls: u.storeCalls - earlier.storeCalls}
}
