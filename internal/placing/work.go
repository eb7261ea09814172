package placing

import "time"

// RunTimeEstimate learns how long requests run at a server.
type RunTimeEstimate struct {
	mean  time.Duration
	count int
}

// workWeight is the weight of one measurement once there are enough of them.
const workWeight = 0.1

// Observe takes the time of an answer and the time that the request was expected to wait before it ran.
func (w *RunTimeEstimate) Observe(took time.Duration, waited float64) {
	ran := time.Duration(float64(took) / (1 + max(0, waited)))
	w.count++
	weight := max(workWeight, 1/float64(w.count))
	w.mean += time.Duration(weight * float64(ran-w.mean))
}

// fewMeasurements is the number of measurements up to which the mean of the service counts as well.
const fewMeasurements = 4

// Expected returns the expected run time, given the mean of all servers of the service.
func (w *RunTimeEstimate) Expected(mean time.Duration) time.Duration {
	if w.count == 0 {
		return mean
	}
	trust := float64(w.count) / float64(w.count+fewMeasurements)
	return time.Duration(trust*float64(w.mean) + (1-trust)*float64(mean))
}

// measurementMemory bounds the number of measurements that a mean stands for.
const measurementMemory = 20

// Mean returns the mean and the number of measurements that it stands for.
func (w *RunTimeEstimate) Mean() (time.Duration, int) { return w.mean, min(w.count, measurementMemory) }
