package standin

import "time"

// Slots of a backend server in the two deployments.
const (
	MoraviaSlots = 3
	KyushuSlots  = 6
)

// DefaultServiceTime is the mean execution time of the stand-ins of both deployments.
const DefaultServiceTime = 20 * time.Millisecond

// MoraviaOptions returns the options of a backend server of the deployment in MoraviaOptions. The seed fixes its execution
// times.
func MoraviaOptions(name string, fenced bool, seed uint64) Options {
	return deployed(name, MoraviaSlots, fenced, seed)
}

// KyushuOptions returns the options of a backend server of the deployment in KyushuOptions. The seed fixes its execution
// times.
func KyushuOptions(name string, fenced bool, seed uint64) Options {
	return deployed(name, KyushuSlots, fenced, seed)
}

func deployed(name string, slots int, fenced bool, seed uint64) Options {
	return Options{
		Name:           name,
		Slots:          slots,
		Fenced:         fenced,
		ConnectionDelay: DefaultConnectionDelay,
		ProbeDelay:      DefaultProbeDelay,
		ServiceTime:    DefaultServiceTime,
		ExponentialServiceTime:    true,
		Seed:           seed,
	}
}
