package standin

import "time"

// Number of slots of a backend server in the two example deployments.
const (
	MoraviaSlots = 3
	KyushuSlots  = 6
)

// DefaultServiceTime is the mean execution time of the simulated servers of both deployments.
const DefaultServiceTime = 20 * time.Millisecond

// MoraviaOptions returns the options of a backend server of the deployment moravia. The seed determines its execution
// times.
func MoraviaOptions(name string, fenced bool, seed uint64) Options {
	return deploymentOptions(name, MoraviaSlots, fenced, seed)
}

// KyushuOptions returns the options of a backend server of the deployment kyushu. The seed determines its execution
// times.
func KyushuOptions(name string, fenced bool, seed uint64) Options {
	return deploymentOptions(name, KyushuSlots, fenced, seed)
}

func deploymentOptions(name string, slots int, fenced bool, seed uint64) Options {
	return Options{
		Name:                   name,
		Slots:                  slots,
		Fenced:                 fenced,
		ConnectionDelay:        DefaultConnectionDelay,
		ProbeDelay:             DefaultProbeDelay,
		ServiceTime:            DefaultServiceTime,
		ExponentialServiceTime: true,
		Seed:                   seed,
	}
}
