package dispatch

import (
	"fmt"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/directory"
)

// benchServers is the number of backend servers of the largest service that is played.
const benchServers = 233

// BenchmarkAcquire places a request on one of many backend servers, a fifth of them in this gateway's zone.
func BenchmarkAcquire(b *testing.B) {
	d := newDispatcher()
	var servers []directory.RegisteredServer
	for i := range benchServers {
		server := known(fmt.Sprintf("s%03d", i))
		if i%5 != 0 {
			server.Zone = "far"
		}
		servers = append(servers, server)
	}
	d.Update(view(servers))
	for b.Loop() {
		ticket, err := d.Acquire(b.Context(), demand(d, 0))
		if err != nil {
			b.Fatal(err)
		}
		d.Done(ticket, Result{RunTimeValid: true})
	}
}
