package dispatch

import (
	"fmt"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/directory"
)

// benchServers is the number of backend servers of the largest service in the simulations.
const benchServers = 233

// BenchmarkAcquire measures placing a request on one of many backend servers, one fifth of them in this gateway's
// zone.
func BenchmarkAcquire(b *testing.B) {
	d := newDispatcher()
	var servers []directory.RegisteredServer
	for i := range benchServers {
		server := testServer(fmt.Sprintf("s%03d", i))
		if i%5 != 0 {
			server.Zone = "far"
		}
		servers = append(servers, server)
	}
	d.Update(view(servers))
	for b.Loop() {
		reservation, err := d.Acquire(b.Context(), newRequest(d, 0))
		if err != nil {
			b.Fatal(err)
		}
		d.Done(reservation, Result{RunTimeValid: true})
	}
}
