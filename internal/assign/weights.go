package assign

import "math"

// floorShare is the share of the total load that is spread evenly over all partitions, so that idle partitions are
// spread too.
const floorShare = 0.02

// idleShare is the share of the capacity below which loads are treated as noise.
const idleShare = 0.05

// capacities returns the capacity of each server, 0 for one that is not up, and their sum.
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

// upWeight returns the sum and the maximum of the weights of the servers that are up, without their ramps.
func upWeight(in *Input) (sum, greatest float64) {
	for i := range in.Servers {
		if in.Servers[i].State == Up {
			weight := in.Servers[i].effectiveWeight()
			sum += weight
			greatest = max(greatest, weight)
		}
	}
	return sum, greatest
}

// cleanLoad returns a load that sums can use: negative and undefined loads count as none.
func cleanLoad(load float64) float64 {
	if load > 0 && !math.IsInf(load, 1) {
		return load
	}
	return 0
}

// partitionFloor returns the load that is added to each partition.
func partitionFloor(in *Input, total, weight float64) float64 {
	floor := max(floorShare*total, idleShare*cleanLoad(in.Capacity)*weight)
	if floor == 0 || len(in.Partitions) == 0 {
		return 1
	}
	return floor / float64(len(in.Partitions))
}
