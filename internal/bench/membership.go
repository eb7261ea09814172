package bench

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
)

const (
	// eventTime is the model time at which a server joins or starts to leave.
	eventTime = 60 * time.Second
	// drainDuration is the time from the start of a drain to its deadline.
	drainDuration = 3 * time.Second
	// replacementInterval is the time between the starts of two drains in a rolling replacement, and replacementDelay
	// the time from the start of a drain until the cold replacement is up.
	replacementInterval = 60 * time.Second
	replacementDelay    = 10 * time.Second
)

// membershipEvent returns the servers at the given time, from the servers of the previous round.
type membershipEvent func(now time.Duration, servers []assign.Server) []assign.Server

func joinExperiment() Experiment {
	return membershipExperiment("join", "A cold server joins 16 servers with uniform keys.", func(config *modelConfig) {
		config.event = joinEvent
	})
}

// joinLargeExperiment adds a server to a service of the target size. At its request rate each partition gets few
// requests, so the result also shows the effect of sampling noise.
func joinLargeExperiment() Experiment {
	return membershipExperiment("join-large", "A cold server joins 1,000 servers with 65,536 partitions and uniform keys.", func(config *modelConfig) {
		config.servers = 1000
		config.partitions = 65536
		config.rate = 100
		config.event = joinEvent
	})
}

// joinEvent adds a cold server at eventTime.
func joinEvent(now time.Duration, servers []assign.Server) []assign.Server {
	if now == eventTime {
		return append(servers, assign.Server{Name: serverName(len(servers)), State: assign.Up, ColdSince: now})
	}
	return servers
}

func leaveExperiment() Experiment {
	return membershipExperiment("leave", "One of 16 servers drains and leaves, with uniform keys.", func(config *modelConfig) {
		config.event = leaveEvent
	})
}

// leaveEvent starts to drain the first server at eventTime and stops it after the drain deadline.
func leaveEvent(now time.Duration, servers []assign.Server) []assign.Server {
	if now == eventTime {
		startDrain(&servers[0], now)
	}
	stopDrainedServers(now, servers)
	return servers
}

func rollingExperiment() Experiment {
	return membershipExperiment("rolling", "Each of 16 servers is drained and replaced by a cold one, with uniform keys.", func(config *modelConfig) {
		count := config.servers
		config.seconds = (count + 1) * int(replacementInterval/time.Second)
		config.event = func(now time.Duration, servers []assign.Server) []assign.Server {
			index := int(now/replacementInterval) - 1
			if index < 0 || index >= count {
				return servers
			}
			switch now % replacementInterval {
			case 0:
				startDrain(&servers[index], now)
			case replacementDelay:
				servers = append(servers, assign.Server{Name: serverName(len(servers)), State: assign.Up, ColdSince: now})
			}
			stopDrainedServers(now, servers)
			return servers
		}
	})
}

// membershipExperiment returns an experiment with uniform keys in which configure sets how the set of servers changes.
func membershipExperiment(name, summary string, configure func(*modelConfig)) Experiment {
	return Experiment{
		Name:      name,
		Summary:   summary,
		Baselines: []string{baselineRendezvous, baselineRing},
		Run: func(seed uint64) (*Report, error) {
			config := baseConfig(seed)
			config.seconds = 180
			config.imbalanceTarget = uniformImbalanceTarget
			configure(&config)
			return runSystems(config), nil
		},
	}
}

func startDrain(server *assign.Server, now time.Duration) {
	server.State = assign.Draining
	server.DrainDeadline = now + drainDuration
}

// stopDrainedServers marks as down the servers whose drain deadline passed more than 1 s ago.
func stopDrainedServers(now time.Duration, servers []assign.Server) {
	for i := range servers {
		if servers[i].State == assign.Draining && now > servers[i].DrainDeadline+time.Second {
			servers[i].State = assign.Down
		}
	}
}
