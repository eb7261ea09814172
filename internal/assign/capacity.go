package assign

import "math"

// baseLoadShare is the share of the total load that is added in equal parts to all partitions, so that idle partitions
// are distributed evenly too.
const baseLoadShare = 0.02

// idleCapacityShare is the share of the total capacity below which loads are treated as noise.
const idleCapacityShare = 0.05

// capacities returns the capacity of each server, 0 for one that is not up, and the sum.
func capacities(in *Input, t *Tuning) (each []float64, sum float64) {
	each = make([]float64, len(in.Servers))
	for i := range in.Servers {
		server := &in.Servers[i]
		if server.State != Up {
			continue
		}
		each[i] = server.effectiveWeight() * t.rampShare(server.ColdSince, in.Now)
		sum += each[i]
	}
	return each, sum
}

// upWeights returns the sum and the maximum of the weights of the servers that are up, regardless of ramps.
func upWeights(in *Input) (sum, maximum float64) {
	for i := range in.Servers {
		if in.Servers[i].State == Up {
			weight := in.Servers[i].effectiveWeight()
			sum += weight
			maximum = max(maximum, weight)
		}
	}
	return sum, maximum
}

// sanitizeLoad returns the load, or 0 if it is negative, infinite or NaN.
func sanitizeLoad(load float64) float64 {
	if load > 0 && !math.IsInf(load, 1) {
		return load
	}
	return 0
}

// partitionBaseLoad returns the base load of each partition, or 1 without any load, so that partitions are distributed
// by number.
func partitionBaseLoad(in *Input, total, weight float64) float64 {
	baseLoad := max(baseLoadShare*total, idleCapacityShare*sanitizeLoad(in.Capacity)*weight)
	if baseLoad == 0 || len(in.Partitions) == 0 {
		return 1
	}
	return baseLoad / float64(len(in.Partitions))
}
