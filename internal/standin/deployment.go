package standin

import "time"

// Number of slots of a backend server in the two example deployments.
const (
	MoraviaSlots = 3
	KyushuSlots  = 6
)

// DefaultServiceTime is the mean execution time of the simulated servers of both deployments.
const DefaultServiceTime = 20 * time.Millisecond

// Moravia returns the options of a backend server of the deployment moravia. The seed determines its execution
// times.
func Moravia(name string, fenced bool, seed uint64) Options {
	return deploymentOptions(name, MoraviaSlots, fenced, seed)
}

// Kyushu returns the options of a backend server of the deployment kyushu. The seed determines its execution
// times.
func Kyushu(name string, fenced bool, seed uint64) Options {
	return deploymentOptions(name, KyushuSlots, fenced, seed)
}

func deploymentOptions(name string, slots int, fenced bool, seed uint64) Options {
	return Options{
		Name:           name,
		Slots:          slots,
		Fenced:         fenced,
		ConnectionCost: DefaultConnectionCost,
		ProbeCost:      DefaultProbeCost,
		ServiceTime:    DefaultServiceTime,
		Exponential:    true,
		Seed:           seed,
	}
}
