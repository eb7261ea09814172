package standin

import "time"

// Slots of a backend server in the two deployments.
const (
	MoraviaSlots = 3
	KyushuSlots  = 6
)

// DefaultServiceTime is the mean execution time of the stand-ins of both deployments.
const DefaultServiceTime = 20 * time.Millisecond

// Moravia returns the options of a backend server of the deployment in Moravia. The seed fixes its execution
// times.
func Moravia(name string, fenced bool, seed uint64) Options {
	return deployed(name, MoraviaSlots, fenced, seed)
}

// Kyushu returns the options of a backend server of the deployment in Kyushu. The seed fixes its execution
// times.
func Kyushu(name string, fenced bool, seed uint64) Options {
	return deployed(name, KyushuSlots, fenced, seed)
}

func deployed(name string, slots int, fenced bool, seed uint64) Options {
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
