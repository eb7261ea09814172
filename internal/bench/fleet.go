package bench

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
)

const (
	// eventAt is the time of the join or the leave.
	eventAt = 60 * time.Second
	// drainTime is the time in which a leaving server gives up its work.
	drainTime = 3 * time.Second
	// replaceEvery is the time between two replacements in a rolling replacement, and replaceAfter the time from
	// the start of a drain until the cold replacement is up.
	replaceEvery = 60 * time.Second
	replaceAfter = 10 * time.Second
)

// fleetEvent returns the servers at a time, given those before.
type fleetEvent func(now time.Duration, servers []assign.Server) []assign.Server

func joinExperiment() Experiment {
	return fleetExperiment("join", "A cold server joins 16 servers with uniform keys.", func(config *modelConfig) {
		config.event = joinEvent
	})
}

// joinLargeExperiment joins a service of the target size. Its rate leaves few requests for each partition, so it also
// shows what noise does.
func joinLargeExperiment() Experiment {
	return fleetExperiment("join-large", "A cold server joins 1,000 servers with 65,536 partitions and uniform keys.", func(config *modelConfig) {
		config.servers = 1000
		config.partitions = 65536
		config.rate = 100
		config.event = joinEvent
	})
}

// joinEvent adds a cold server.
func joinEvent(now time.Duration, servers []assign.Server) []assign.Server {
	if now == eventAt {
		return append(servers, assign.Server{Name: serverName(len(servers)), State: assign.Up, ColdSince: now})
	}
	return servers
}

func leaveExperiment() Experiment {
	return fleetExperiment("leave", "One of 16 servers drains and leaves, with uniform keys.", func(config *modelConfig) {
		config.event = leaveEvent
	})
}

// leaveEvent drains the first server and stops it.
func leaveEvent(now time.Duration, servers []assign.Server) []assign.Server {
	if now == eventAt {
		drain(&servers[0], now)
	}
	stopDrained(now, servers)
	return servers
}

func rollingExperiment() Experiment {
	return fleetExperiment("rolling", "Each of 16 servers is drained and replaced by a cold one, with uniform keys.", func(config *modelConfig) {
		count := config.servers
		config.seconds = (count + 1) * int(replaceEvery/time.Second)
		config.event = func(now time.Duration, servers []assign.Server) []assign.Server {
			server := int(now/replaceEvery) - 1
			if server < 0 || server >= count {
				return servers
			}
			switch now % replaceEvery {
			case 0:
				drain(&servers[server], now)
			case replaceAfter:
				servers = append(servers, assign.Server{Name: serverName(len(servers)), State: assign.Up, ColdSince: now})
			}
			stopDrained(now, servers)
			return servers
		}
	})
}

// fleetExperiment is an experiment with uniform keys and a change of the servers.
func fleetExperiment(name, summary string, change func(*modelConfig)) Experiment {
	return Experiment{
		Name:      name,
		Summary:   summary,
		Baselines: []string{baselineRendezvous, baselineRing},
		Run: func(seed uint64) (*Report, error) {
			config := baseConfig(seed)
			config.seconds = 180
			config.target = imbalanceUniform
			change(&config)
			return runSystems(config), nil
		},
	}
}

func drain(server *assign.Server, now time.Duration) {
	server.State = assign.Draining
	server.DrainDeadline = now + drainTime
}

func stopDrained(now time.Duration, servers []assign.Server) {
	for i := range servers {
		if servers[i].State == assign.Draining && now > servers[i].DrainDeadline+time.Second {
			servers[i].State = assign.Down
		}
	}
}
