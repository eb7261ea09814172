package dev

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// meanRunTime is the default mean run time of requests on the simulated backend servers.
const meanRunTime = 10 * time.Millisecond

// servers holds the simulated backend servers of a deployment.
type servers struct {
	byName map[string]*standin.Server
}

// startServers starts a simulated backend server on the address of each configured one.
func startServers(c *config.Config, log *ExecutionLog, runTime time.Duration, seed uint64) (*servers, error) {
	s := &servers{byName: make(map[string]*standin.Server)}
	for _, service := range c.Services {
		for i, server := range service.Servers {
			backend := standin.New(standin.Options{
				Name:               server.Name,
				Slots:              service.Slots,
				Fenced:             service.Fenced,
				ConnectionDelay:    standin.ExampleConnectionDelay,
				ProbeDelay:         standin.ExampleProbeDelay,
				RunTime:            runTime,
				ExponentialRunTime: true,
				Seed:               seed + uint64(i),
				Observer:           newExecutionObserver(service.Name, log),
			})
			if _, err := backend.Listen(server.Address); err != nil {
				s.close()
				return nil, err
			}
			s.byName[server.Name] = backend
		}
	}
	return s, nil
}

func (s *servers) close() {
	for _, server := range s.byName {
		server.Close()
	}
}

// overSlots returns the number of executions that started while all slots of their server were in use.
func (s *servers) overSlots() int {
	total := 0
	for _, server := range s.byName {
		total += server.Counters().ExecutionsOverSlots
	}
	return total
}

// executionObserver adds each execution to the log with its start and end time.
type executionObserver struct {
	service string
	log     *ExecutionLog

	// mu protects the fields below.
	mu      sync.Mutex
	started map[standin.Execution]time.Time
}

func newExecutionObserver(service string, log *ExecutionLog) *executionObserver {
	return &executionObserver{service: service, log: log, started: make(map[standin.Execution]time.Time)}
}

// Started records the start time of an execution.
func (o *executionObserver) Started(e standin.Execution) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started[e] = time.Now()
}

// Ended adds the execution to the log.
func (o *executionObserver) Ended(e standin.Execution) {
	o.mu.Lock()
	start := o.started[e]
	delete(o.started, e)
	o.mu.Unlock()
	// Backend servers that do not check fencing tokens receive none; Parse then returns the zero token.
	token, _ := fence.Parse(e.Token)
	o.log.Add(Execution{
		Server:   e.Server,
		Service:  o.service,
		Key:      e.Key,
		Identity: e.Identity,
		Token:    token,
		Start:    start,
		End:      time.Now(),
	})
}
