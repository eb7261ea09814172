package bench

// Report is the result of one run of an experiment.
type Report struct {
	Experiment string
	Seed       uint64
	// Settings are the parameters of the run.
	Settings []Setting
	// Measurements holds the variants of the system and then the baselines.
	Measurements []*Measurement
	Charts       []*Chart
	// Notes define the figures.
	Notes []string
}

// Setting is one parameter of a run. The value includes its unit.
type Setting struct {
	Name  string
	Value string
}

// Measurement holds the results of one system in a run. Fields that the experiment does not measure are nil.
type Measurement struct {
	// System is the name of the measured system.
	System         string
	Imbalance      *Imbalance
	Churn          *Churn
	Unavailability *Unavailability
	Latency        *Latency
	ControlCost    *ControlCost
	// Figures are additional results, each of which has its own row in the result table.
	Figures []Figure
}

// Imbalance is the maximum over the mean of the load across backend servers, sampled once per second of model time.
type Imbalance struct {
	// Counted is computed from the requests that reached each server.
	Counted Quantiles
	// Expected is computed from the offered rate of the keys of each server, without sampling noise.
	Expected Quantiles
	// AboveTarget is the share of the samples in which the expected imbalance exceeds the target.
	AboveTarget float64
	// Target is the greatest imbalance that the design allows, or 0 for no target.
	Target float64
}

// Quantiles are the mean, two quantiles and the maximum of one quantity.
type Quantiles struct {
	Mean float64
	P50  float64
	P99  float64
	Max  float64
}

// Churn is the movement of keys between owners.
type Churn struct {
	// Moved is the number of moved keys, summed over all moves, as a share of all keys.
	Moved float64
	// MinMoved is the minimum share of the keys that the changes of the servers force to move, or 0.
	MinMoved float64
	// Moves is the number of moves, each of a partition or of a hot key.
	Moves int
}

// Ratio returns the churn relative to the minimum.
func (c *Churn) Ratio() float64 {
	return c.Moved / c.MinMoved
}

// Unavailability is the modelled time, in milliseconds, for which keys had no owner.
type Unavailability struct {
	// MeanMillis is the mean over all keys.
	MeanMillis float64
	// MaxMillis is the maximum over all keys.
	MaxMillis float64
}

// Latency holds quantiles of the response time in milliseconds.
type Latency struct {
	P50  float64
	P99  float64
	P999 float64
	// RunTimeP99 is the 99% quantile of the run time, which excludes the wait for a slot.
	RunTimeP99 float64
	// Refused is the share of the requests that were refused without execution. The model refuses a request whose wait
	// would be too long.
	Refused float64
}

// ControlCost is the cost of the assignment rounds, measured on the machine of the run.
type ControlCost struct {
	// RoundMillis is the mean duration of one round in milliseconds.
	RoundMillis float64
	Rounds      int
}

// Figure is an additional result of a measurement.
type Figure struct {
	Name  string
	Unit  string
	Value float64
}

// Chart is a line chart.
type Chart struct {
	Name   string
	XLabel string
	YLabel string
	Lines  []Line
}

// Line is one line of a chart.
type Line struct {
	Name   string
	Points []Point
}

// Point is one point of a line.
type Point struct {
	X float64
	Y float64
}
