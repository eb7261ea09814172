package live

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
)

// Options are the command-line options shared by all live experiments.
type Options struct {
	Duration   time.Duration `long:"duration" value-name:"DURATION" default:"10s" description:"Length of each run of a live experiment, as a duration with unit"`
	Scale      float64       `long:"scale" value-name:"NUMBER" default:"0.05" description:"Load of live experiments relative to the slot capacity of the backend servers, without unit"`
	Deployment string        `long:"deployment" value-name:"NAME" default:"moravia" description:"Deployment of live experiments, moravia or kyushu"`
	Revisions  int           `long:"revisions" value-name:"NUMBER" default:"1000" description:"Accepted revisions of the experiment config-burst"`
}

// Register adds the live experiments to package bench.
func Register() {
	o := new(Options)
	bench.Register("Live experiments", o, experiments(o)...)
}

// experiments returns all live experiments. They read the options when they run, so the options may be parsed later.
func experiments(o *Options) []bench.Experiment {
	return []bench.Experiment{
		steady(o), heavy(o), lostServer(o), frozenServer(o), lostGateway(o), pausedHolder(o), storeDown(o), zoneCut(o),
		rollingGateways(o), configBurst(o), plannedStop(o),
	}
}
