// Package capacity estimates how many requests a second a backend server can run, from what gateways measured and what is known
// of the server. It performs no I/O and reads no clock.
package capacity

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

const (
	// warmupShare is the share of its capacity that a server has during its warm-up.
	warmupShare = 0.5
	// defaultRunTime is the run time assumed for every server until there are measurements.
	defaultRunTime = 100 * time.Millisecond
	// minMeasurements is the number of measurements below which a server is assumed to have the average run time.
	minMeasurements = 5
)

// Server is what is known of one backend server.
type Server struct {
	Slots   int
	RunTime relay.RunTime
	// Limit is the number of requests a second that the server takes. It is valid only if Limited is set.
	Limit   float64
	Limited bool
	// WarmsUp is true while the server has less capacity than later.
	WarmsUp bool
}

// Estimate returns the capacity of each server of a service, in requests a second.
func Estimate(servers []Server, slowStart routing.SlowStart) []float64 {
	average := averageRunTime(servers)
	capacities := make([]float64, len(servers))
	for i, server := range servers {
		runTime := average
		if server.measured() {
			runTime = server.RunTime.Mean
		}
		capacities[i] = server.capacity(runTime, slowStart)
	}
	return capacities
}

func (s Server) capacity(runTime time.Duration, slowStart routing.SlowStart) float64 {
	capacity := float64(s.Slots) / runTime.Seconds()
	if s.Limited {
		capacity = min(capacity, s.Limit)
	}
	if !s.WarmsUp {
		return capacity
	}
	capacity *= warmupShare
	if slowStart.Rate > 0 {
		capacity = min(capacity, slowStart.Rate)
	}
	return capacity
}

// measured reports whether there are enough measurements of the server.
func (s Server) measured() bool {
	return s.RunTime.Measurements >= minMeasurements && s.RunTime.Mean > 0
}

// averageRunTime returns the mean run time on the servers that were measured.
func averageRunTime(servers []Server) time.Duration {
	total, count := time.Duration(0), 0
	for _, server := range servers {
		if server.measured() {
			total += server.RunTime.Mean
			count++
		}
	}
	if count == 0 {
		return defaultRunTime
	}
	return total / time.Duration(count)
}
