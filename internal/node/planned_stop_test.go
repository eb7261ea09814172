package node

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
)

// Guards against requests that wait for the expiry of a lease during the planned stop of the holder of a cell. This
// happened when partitions were still moving for load balancing while the holder handed over its role.
func TestPlannedStopOfTheHolderWaitsForNoLease(t *testing.T) {
	runWithFakeTime(t, testPlannedStopOfHolder)
}

func testPlannedStopOfHolder(t *testing.T) {
	c := startCluster(t)
	defer c.close()
	time.Sleep(3 * time.Second)
	stopping, entry := c.holder(), c.anyNonHolder()
	var clients sync.WaitGroup
	for _, key := range keyOfEachPartition(c.config.Services[0].Partitions) {
		for i := range 75 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				start := time.Now()
				status := c.send(entry, http.MethodGet, "/v1/keyed/status/1", key, 3*time.Second)
				if took := time.Since(start); status != http.StatusOK || took >= cell.HomeLease {
					t.Errorf("key %s: status %d after %v", key, status, took)
				}
			}()
		}
	}
	time.Sleep(500 * time.Millisecond)
	if err := c.nodes[stopping].Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	_ = c.nodes[stopping].options.Events.Close()
	delete(c.nodes, stopping)
	clients.Wait()
}
