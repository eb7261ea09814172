package dev

import "github.com/sapphireplank/sapphireplank/internal/config"

// heavySubscriber is a flat-rate subscriber that sends far more requests than the others.
const heavySubscriber = "heavy"

const (
	// lightSubscribers is the number of subscribers apart from the heavy one.
	lightSubscribers = 40
	// keysPerService is the number of keys for which clients send requests to each service.
	keysPerService = 2000
	// zipfExponent is the exponent of the Zipf distribution of the keys.
	zipfExponent = 1.1
)

// operation is the method and path of a request.
type operation struct {
	method string
	path   string
}

// profile describes the load on one service.
type profile struct {
	service *config.Service
	// rate is the number of requests per second of all light subscribers together.
	rate float64
	// heavyRate is the number of requests per second of the heavy subscriber.
	heavyRate float64
	// idempotent and nonIdempotent are the operations that may and may not be executed twice. Each is nil if the service
	// has none.
	idempotent    *operation
	nonIdempotent *operation
}

// lightLoadShare is the share of the scaled capacity of a service that all light subscribers together use.
const lightLoadShare = 0.3

// profiles derives the load from the configuration: the light subscribers together use lightLoadShare of the scaled
// capacity of each service. The heavy one sends heavyFactor times the scaled capacity to each sharded service.
func profiles(c *config.Config, runTimeMillis, heavyFactor, scale float64) []profile {
	list := make([]profile, 0, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		capacity := float64(len(s.Servers)*s.Slots) * 1000 / runTimeMillis * scale
		p := profile{service: s, rate: capacity * lightLoadShare}
		p.idempotent, p.nonIdempotent = operations(s)
		if s.Keyed {
			p.heavyRate = capacity * heavyFactor
		}
		list = append(list, p)
	}
	return list
}

// operations returns an idempotent and a non-idempotent operation of the service, each nil if there is none.
func operations(s *config.Service) (idempotent, nonIdempotent *operation) {
	for _, path := range []string{"/status/7", "/status", "/drafts/7", "/lookup/7", "/7"} {
		if s.IsIdempotent("GET", path) {
			idempotent = &operation{method: "GET", path: path}
			break
		}
	}
	if !s.IsIdempotent("POST", "/orders") {
		nonIdempotent = &operation{method: "POST", path: "/orders"}
	}
	return idempotent, nonIdempotent
}
