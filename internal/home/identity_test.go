package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// TestIdentities guards against a retry by the client that is executed a second time.
func TestIdentities(t *testing.T) {
	withHarness(t, unkeyedConfig, standin.Options{RunTime: 100 * time.Millisecond}, func(h *harness) {
		first := h.startRequest(h.Context(), h.request(withIdentity("one")))
		h.checkResult("while running", h.do(h.Context(), h.request(withIdentity("one"))), "repeated-request ran")
		h.checkResult("first", <-first, "200")
		h.checkResult("afterwards", h.do(h.Context(), h.request(withIdentity("one"))), "repeated-request ran")
		h.checkResult("idempotent", h.do(h.Context(), h.request(func(r *backend.Request) {
			r.Idempotent, r.Identity = true, "one"
		})), "200")
		h.checkResult("other subscriber", h.do(h.Context(), h.request(func(r *backend.Request) {
			r.Subscriber, r.Identity = "t", "one"
		})), "200")

		h.server.ConfigureFaults(func(s *standin.FaultConfig) { s.Shed = true })
		h.checkResult("shed", h.do(h.Context(), h.request(withIdentity("two"))), "backend-shed-load not-run")
		h.server.ConfigureFaults(func(s *standin.FaultConfig) { s.Shed = false })
		h.checkResult("retry after shed", h.do(h.Context(), h.request(withIdentity("two"))), "200")

		h.server.ConfigureFaults(func(s *standin.FaultConfig) { s.Fault = standin.FaultCloseAfterExecution })
		h.checkResult("connection lost", h.do(h.Context(), h.request(withIdentity("three"))), "connection-lost unknown")
		h.server.ConfigureFaults(func(s *standin.FaultConfig) { s.Fault = standin.FaultNone })
		h.checkResult("retry after the loss", h.do(h.Context(), h.request(withIdentity("three"))), "repeated-request unknown")

		for identity, want := range map[string]int{"one": 2, "two": 1, "three": 1} {
			if got := h.server.IdentityExecutions("s", identity); got != want {
				h.Errorf("identity %s was executed %d times, want %d", identity, got, want)
			}
		}
	})
}

func uuidV7(created time.Time) string {
	millis := uint64(created.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7abc-8def-0123456789ab", millis>>16, millis&0xffff)
}

// TestIdentityAfterLossOfRecord guards against a retry that is executed again because the record was lost, reached its
// limit or no longer holds the identity.
func TestIdentityAfterLossOfRecord(t *testing.T) {
	config := unkeyedConfig
	config.MaxIdentities = 2
	withHarness(t, config, standin.Options{}, func(h *harness) {
		started := time.Now()
		sendCreatedAfter := func(d time.Duration) string {
			time.Sleep(time.Until(started.Add(d))) // an identity is not used before it is created
			return h.do(h.Context(), h.request(withIdentity(uuidV7(started.Add(d)))))
		}
		h.checkResult("before the start of the record", sendCreatedAfter(-time.Minute), "request-identity-too-old unknown")
		h.checkResult("within the clock skew", sendCreatedAfter(50*time.Millisecond), "request-identity-too-old unknown")
		h.checkResult("after the start of the record", sendCreatedAfter(100*time.Millisecond), "200")
		h.checkResult("not a UUID", h.do(h.Context(), h.request(withIdentity("x"))), "200")
		time.Sleep(time.Second)
		h.checkResult("third with a limit of two", sendCreatedAfter(900*time.Millisecond), "200")
		h.checkResult("evicted", sendCreatedAfter(100*time.Millisecond), "request-identity-too-old unknown")
		h.checkResult("fourth with a limit of two", sendCreatedAfter(901*time.Millisecond), "200")
		time.Sleep(IdentityWindow)
		h.checkResult("after the window", sendCreatedAfter(900*time.Millisecond), "request-identity-too-old unknown")
		h.checkResult("new identity", sendCreatedAfter(time.Since(started)), "200")
	})
}

// TestIdentityRecordHandover guards against a retry that is executed again by the next home of the server, and against
// first requests that are refused because the record of the next home is new.
func TestIdentityRecordHandover(t *testing.T) {
	for _, config := range []Config{fencedConfig, unkeyedConfig} {
		withHarness(t, config, standin.Options{RunTime: 20 * time.Millisecond}, func(h *harness) {
			time.Sleep(time.Second)
			ran, unused := uuidV7(time.Now()), uuidV7(time.Now().Add(-time.Millisecond))
			old := h.dispatcher
			h.checkResult("first", h.do(h.Context(), h.request(withIdentity(ran))), "200")
			if err := old.Leave(h.Context()); err != nil {
				h.Fatal(err)
			}
			next := old.config
			h.dispatcher = Open(next, h.server.Client())
			h.setOwned(2, false)
			h.checkResult("without the record", h.do(h.Context(), h.request(withIdentity(ran))), "request-identity-too-old unknown")
			h.dispatcher.ImportIdentities(old.ExportIdentities())
			old.Close()
			h.checkResult("retry", h.do(h.Context(), h.request(withIdentity(ran))), "repeated-request ran")
			h.checkResult("unused", h.do(h.Context(), h.request(withIdentity(unused))), "200")
			if got := h.server.IdentityExecutions("s", ran); got != 1 {
				h.Errorf("the identity was executed %d times", got)
			}
		})
	}
}
