package placing

import "time"

// RunTimeEstimate estimates the run time of requests on a server as a moving average.
type RunTimeEstimate struct {
	mean  time.Duration
	count int
}

// runTimeSmoothing is the weight of a new measurement once there are enough of them.
const runTimeSmoothing = 0.1

// Observe records the time until a response. relativeWait is the expected queueing time of the request at the
// server, in units of the run time; it is factored out.
func (e *RunTimeEstimate) Observe(elapsed time.Duration, relativeWait float64) {
	runTime := time.Duration(float64(elapsed) / (1 + max(0, relativeWait)))
	e.count++
	weight := max(runTimeSmoothing, 1/float64(e.count))
	e.mean += time.Duration(weight * float64(runTime-e.mean))
}

// priorMeasurements is the weight of the service-wide mean, as a number of measurements.
const priorMeasurements = 4

// Expected returns the expected run time. mean is the mean over all servers of the service, which dominates while
// there are few measurements.
func (e *RunTimeEstimate) Expected(mean time.Duration) time.Duration {
	if e.count == 0 {
		return mean
	}
	confidence := float64(e.count) / float64(e.count+priorMeasurements)
	return time.Duration(confidence*float64(e.mean) + (1-confidence)*float64(mean))
}

// maxMeasurements limits the number of measurements that Mean reports.
const maxMeasurements = 20

// Mean returns the mean run time and the number of measurements that it represents.
func (e *RunTimeEstimate) Mean() (time.Duration, int) { return e.mean, min(e.count, maxMeasurements) }
