package hostlist_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/hostlist"
	"github.com/sapphireplank/sapphireplank/internal/hostlist/hostlisttest"
)

func newFixture(*testing.T) hostlisttest.Fixture {
	now := time.Unix(1_000_000_000, 0)
	fake := hostlist.NewFake(func() time.Time { return now })
	return hostlisttest.Fixture{List: fake, Fake: fake, Advance: func(d time.Duration) { now = now.Add(d) }}
}

func TestFakeContract(t *testing.T) { hostlisttest.Run(t, newFixture) }

func TestHTTPContract(t *testing.T) {
	hostlisttest.Run(t, func(t *testing.T) hostlisttest.Fixture {
		f := newFixture(t)
		server := httptest.NewServer(hostlist.NewHandler(f.Fake))
		t.Cleanup(server.Close)
		f.List = hostlist.NewClient(server.URL, server.Client())
		return f
	})
}
