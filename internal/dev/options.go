package dev

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/logging"
)

// Options configures a deployment.
type Options struct {
	Name   string
	Config *config.Config
	Logs   *logging.Loggers
	// EventDir is the directory for event logs. Default: no event logs.
	EventDir string
	// Seed is the seed of the random run times of the backend servers.
	Seed uint64
	// RunTime is the mean run time of requests on the backend servers. Default: 10 ms.
	RunTime time.Duration
	// Network opens the connections of the gateways. Default: TCP without faults.
	Network *Network
}

func (o Options) withDefaults() Options {
	if o.RunTime == 0 {
		o.RunTime = meanRunTime
	}
	return o
}
