package entry

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/admission"
)

// routePatience estimates for each route how long its clients have waited. It is safe for concurrent use.
type routePatience struct {
	// mu protects routes.
	mu     sync.Mutex
	routes map[string]*admission.Patience
}

func newRoutePatience() *routePatience {
	return &routePatience{routes: make(map[string]*admission.Patience)}
}

// maxPatienceRoutes bounds the routes that are remembered. Configurations change; the estimates of routes that are gone are
// dropped with the others.
const maxPatienceRoutes = 1 << 14

// observe records the timeout that a client states, and returns how long ago it first sent the request at the least.
func (r *routePatience) observe(route string, timeout, now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.routes[route]
	if p == nil {
		if len(r.routes) >= maxPatienceRoutes {
			clear(r.routes)
		}
		p = &admission.Patience{}
		r.routes[route] = p
	}
	return p.Observe(timeout, now)
}
