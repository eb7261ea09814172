package dev

import "github.com/sapphireplank/sapphireplank/internal/config"

// heavySubscriber is the flat-rate subscriber that sends far more than the others.
const heavySubscriber = "heavy"

const (
	// lightSubscribers is the number of other subscribers.
	lightSubscribers = 40
	// keysPerService is the number of keys that callers use.
	keysPerService = 2000
	// zipfExponent shapes the popularity of keys.
	zipfExponent = 1.1
)

// operation is one kind of request.
type operation struct {
	method string
	path   string
}

// profile is the load on one service.
type profile struct {
	service *config.Service
	// rate is the number of requests a second of all light subscribers together.
	rate float64
	// heavyRate is the number of requests a second of the heavy subscriber.
	heavyRate float64
	// idempotent and single are the requests that may and may not run twice.
	idempotent *operation
	single     *operation
}

// loadShare is the share of a service's capacity that the light subscribers use together.
const loadShare = 0.3

// profiles derives the load from the configuration: light subscribers use a share of the capacity, and the heavy
// one offers heavyFactor times the capacity of the services that are divided by key.
func profiles(c *config.Config, serviceMillis, heavyFactor, scale float64) []profile {
	list := make([]profile, 0, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		capacity := float64(len(s.Servers)*s.Slots) * 1000 / serviceMillis * scale
		p := profile{service: s, rate: capacity * loadShare}
		p.idempotent, p.single = operations(s)
		if s.Keyed {
			p.heavyRate = capacity * heavyFactor
		}
		list = append(list, p)
	}
	return list
}

// operations picks one request of each kind that the rules of the service allow.
func operations(s *config.Service) (idempotent, single *operation) {
	for _, path := range []string{"/status/7", "/status", "/drafts/7", "/lookup/7", "/7"} {
		if s.IsIdempotent("GET", path) {
			idempotent = &operation{method: "GET", path: path}
			break
		}
	}
	if !s.IsIdempotent("POST", "/orders") {
		single = &operation{method: "POST", path: "/orders"}
	}
	return idempotent, single
}
