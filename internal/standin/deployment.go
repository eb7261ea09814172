package standin

import "time"

// Number of slots of a backend server in the two example deployments.
const (
	MoraviaSlots = 3
	KyushuSlots  = 6
)

// ExampleRunTime is the mean run time of requests on the simulated servers of the two example
// deployments.
const ExampleRunTime = 20 * time.Millisecond

// MoraviaOptions returns the options of a backend server of the deployment moravia. The seed determines its run times.
func MoraviaOptions(name string, fenced bool, seed uint64) Options {
	return deploymentOptions(name, MoraviaSlots, fenced, seed)
}

// KyushuOptions returns the options of a backend server of the deployment kyushu. The seed determines its run times.
func KyushuOptions(name string, fenced bool, seed uint64) Options {
	return deploymentOptions(name, KyushuSlots, fenced, seed)
}

func deploymentOptions(name string, slots int, fenced bool, seed uint64) Options {
	return Options{
		Name:               name,
		Slots:              slots,
		Fenced:             fenced,
		ConnectionDelay:    ExampleConnectionDelay,
		ProbeDelay:         ExampleProbeDelay,
		RunTime:            ExampleRunTime,
		ExponentialRunTime: true,
		Seed:               seed,
	}
}
