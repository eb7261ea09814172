package dev

import "context"

// RouteFunc chooses the client address of a gateway for a request. It returns false to leave the choice to the balancer.
type RouteFunc func(service, key string) (string, bool)

// Load configures the load of a run.
type Load struct {
	// Seed is the seed of the random choices of the clients.
	Seed uint64
	// Heavy is the load of the heavy subscriber on each sharded service, relative to the scaled capacity. 0
	// means that there is no heavy subscriber.
	Heavy float64
	// Scale is the scaled capacity relative to the slot capacity of the backend servers.
	Scale float64
	// ProbedKeys is the number of keys per service whose unavailable time is measured. Default: 24.
	ProbedKeys int
	// Route chooses the gateway of a request. Default: the balancer.
	Route RouteFunc
}

// Send sends the load of all clients until ctx ends and waits for the pending responses.
func (d *Deployment) Send(ctx context.Context, l Load) {
	client := NewClient(d.Balancer, d.Records)
	client.route = l.Route
	defer client.Close()
	traffic := NewTraffic(client, l.Seed)
	if l.ProbedKeys > 0 {
		traffic.probedKeys = l.ProbedKeys
	}
	runTimeMillis := float64(d.options.RunTime.Microseconds()) / microsPerMilli
	traffic.Run(ctx, profiles(d.Config, runTimeMillis, l.Heavy, l.Scale))
}

const microsPerMilli = 1000
