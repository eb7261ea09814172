package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// TestIdentities guards against a second run for a retry of the caller.
func TestIdentities(t *testing.T) {
	onBench(t, unkeyed, standin.Options{ServiceTime: 100 * time.Millisecond}, func(b *bench) {
		first := b.start(b.Context(), b.request(identity("one")))
		b.want("while running", b.do(b.Context(), b.request(identity("one"))), "repeated-request ran")
		b.want("first", <-first, "200")
		b.want("afterwards", b.do(b.Context(), b.request(identity("one"))), "repeated-request ran")
		b.want("idempotent", b.do(b.Context(), b.request(func(r *backend.Request) {
			r.Idempotent, r.Identity = true, "one"
		})), "200")
		b.want("other subscriber", b.do(b.Context(), b.request(func(r *backend.Request) {
			r.Subscriber, r.Identity = "t", "one"
		})), "200")

		b.server.ConfigureFaults(func(s *standin.FaultConfig) { s.Shed = true })
		b.want("shed", b.do(b.Context(), b.request(identity("two"))), "backend-shed-load not-run")
		b.server.ConfigureFaults(func(s *standin.FaultConfig) { s.Shed = false })
		b.want("after shed", b.do(b.Context(), b.request(identity("two"))), "200")

		b.server.ConfigureFaults(func(s *standin.FaultConfig) { s.Fault = standin.FaultCloseAfterExecution })
		b.want("lost", b.do(b.Context(), b.request(identity("three"))), "connection-lost unknown")
		b.server.ConfigureFaults(func(s *standin.FaultConfig) { s.Fault = standin.FaultNone })
		b.want("after lost", b.do(b.Context(), b.request(identity("three"))), "repeated-request unknown")

		for subscriber, want := range map[string]int{"one": 2, "two": 1, "three": 1} {
			if got := b.server.IdentityExecutions("s", subscriber); got != want {
				b.Errorf("identity %s ran %d times, want %d", subscriber, got, want)
			}
		}
	})
}

func uuidV7(at time.Time) string {
	millis := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7abc-8def-0123456789ab", millis>>16, millis&0xffff)
}

// TestIdentityAfterLossOfRecord guards against a retry that runs again because the record was lost, was
// bounded or is older than its window.
func TestIdentityAfterLossOfRecord(t *testing.T) {
	config := unkeyed
	config.MaxIdentities = 2
	onBench(t, config, standin.Options{}, func(b *bench) {
		started := time.Now()
		at := func(d time.Duration) string {
			time.Sleep(time.Until(started.Add(d))) // an identity is not used before it is made
			return b.do(b.Context(), b.request(identity(uuidV7(started.Add(d)))))
		}
		b.want("before the record", at(-time.Minute), "request-identity-too-old unknown")
		b.want("within the skew", at(50*time.Millisecond), "request-identity-too-old unknown")
		b.want("after the begin", at(100*time.Millisecond), "200")
		b.want("no uuid", b.do(b.Context(), b.request(identity("x"))), "200")
		time.Sleep(time.Second)
		b.want("third of two", at(900*time.Millisecond), "200")
		b.want("evicted", at(100*time.Millisecond), "request-identity-too-old unknown")
		b.want("fourth of two", at(901*time.Millisecond), "200")
		time.Sleep(IdentityWindow)
		b.want("after the window", at(900*time.Millisecond), "request-identity-too-old unknown")
		b.want("fresh", at(time.Since(started)), "200")
	})
}

// TestHandOver guards against a retry that runs again at the next home of the server, and against first
// requests that are refused because the record of identities is new.
func TestHandOver(t *testing.T) {
	for _, config := range []Config{fenced, unkeyed} {
		onBench(t, config, standin.Options{ServiceTime: 20 * time.Millisecond}, func(b *bench) {
			time.Sleep(time.Second)
			ran, unused := uuidV7(time.Now()), uuidV7(time.Now().Add(-time.Millisecond))
			old := b.dispatcher
			b.want("first", b.do(b.Context(), b.request(identity(ran))), "200")
			if err := old.Leave(b.Context()); err != nil {
				b.Fatal(err)
			}
			next := old.config
			b.dispatcher = Open(next, b.server.Client())
			b.own(2, false)
			b.want("without the record", b.do(b.Context(), b.request(identity(ran))), "request-identity-too-old unknown")
			b.dispatcher.ImportIdentities(old.ExportIdentities())
			old.Close()
			b.want("retry", b.do(b.Context(), b.request(identity(ran))), "repeated-request ran")
			b.want("unused", b.do(b.Context(), b.request(identity(unused))), "200")
			if got := b.server.IdentityExecutions("s", ran); got != 1 {
				b.Errorf("the identity ran %d times", got)
			}
		})
	}
}
