package dev

import (
	"math"
	"slices"
	"time"
)

// minMeanExecutions is the mean number of executions per server and second below which the ratio is mostly random
// noise.
const minMeanExecutions = 20

// Imbalance is the ratio of the maximum to the mean load of the servers of one service, measured per second.
type Imbalance struct {
	Service string
	// Mean is the mean of the ratios of all measured seconds, Worst the largest of them.
	Mean, Worst float64
	// Seconds is the number of measured seconds.
	Seconds int
}

// imbalance computes the ratio for each second with a mean of at least minMeanExecutions.
func imbalance(service string, servers int, executions []Execution, start time.Time) Imbalance {
	counts := make(map[int]map[string]int)
	for _, e := range executions {
		if e.Service != service {
			continue
		}
		second := int(e.Start.Sub(start) / time.Second)
		if counts[second] == nil {
			counts[second] = make(map[string]int)
		}
		counts[second][e.Server]++
	}
	result := Imbalance{Service: service}
	for _, perServer := range counts {
		if ratio, ok := maxOverMean(perServer, servers); ok {
			result.Mean += ratio
			result.Worst = math.Max(result.Worst, ratio)
			result.Seconds++
		}
	}
	if result.Seconds > 0 {
		result.Mean /= float64(result.Seconds)
	}
	return result
}

func maxOverMean(perServer map[string]int, servers int) (float64, bool) {
	values := make([]int, 0, len(perServer))
	total := 0
	for _, n := range perServer {
		values = append(values, n)
		total += n
	}
	mean := float64(total) / float64(servers)
	if mean < minMeanExecutions {
		return 0, false
	}
	return float64(slices.Max(values)) / mean, true
}
