package bench

// Report is the result of one run of an experiment.
type Report struct {
	Experiment string
	Seed       uint64
	// Settings are the sizes and rates of the run.
	Settings []Setting
	// Measurements holds the system first and then the baselines.
	Measurements []*Measurement
	Charts       []*Chart
	// Notes say how the figures are defined.
	Notes []string
}

// Setting is one size or rate of a run, with its unit.
type Setting struct {
	Name  string
	Value string
}

// Measurement is what one system showed in a run. A part that the experiment does not measure is nil.
type Measurement struct {
	// System is the name of the measured system.
	System      string
	Imbalance   *Imbalance
	Churn       *Churn
	Unavailable *Unavailable
	Latency     *Latency
	Control     *ControlCost
	// Figures are further results.
	Figures []Figure
}

// Imbalance is the maximum over the mean of the load across owners, per second of model time.
type Imbalance struct {
	// Counted quantiles use the requests that reached each owner.
	Counted Quantiles
	// Expected quantiles use the offered rate of each owner's keys, without sampling noise.
	Expected Quantiles
	// Above is the share of the seconds in which the expected imbalance exceeds the target.
	Above float64
	// Target is the greatest imbalance that the design allows, or 0.
	Target float64
}

// Quantiles are quantiles of one quantity.
type Quantiles struct {
	Mean float64
	P50  float64
	P99  float64
	Max  float64
}

// Churn is the movement of keys between owners.
type Churn struct {
	// Moved is the sum over all moves of the moved keys, as a share of all keys.
	Moved float64
	// Least is the share of the keys that had to move, or 0 if none had to.
	Least float64
	// Moves is the number of moves of a partition or a hot key.
	Moves int
}

// Ratio returns the churn relative to the least possible.
func (c *Churn) Ratio() float64 {
	return c.Moved / c.Least
}

// Unavailable is the time for which keys were without an owner, in milliseconds, by the model of the run.
type Unavailable struct {
	// MeanMillis is the mean over all keys.
	MeanMillis float64
	// WorstMillis is the greatest sum for one key.
	WorstMillis float64
}

// Latency holds quantiles of the response time in milliseconds, by the model of the run.
type Latency struct {
	P50  float64
	P99  float64
	P999 float64
	// ServiceP99 is the 99% quantile of the execution alone.
	ServiceP99 float64
	// Refused is the share of the requests that waited too long and were refused.
	Refused float64
}

// ControlCost is the cost of deciding, measured on the machine of the run.
type ControlCost struct {
	// RoundMillis is the mean time of one round.
	RoundMillis float64
	// Rounds is the number of rounds.
	Rounds int
}

// Figure is one further result.
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
