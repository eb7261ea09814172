package hostlist_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/hostlist"
	"github.com/sapphireplank/sapphireplank/internal/hostlist/hostlisttest"
)

func open(*testing.T) hostlisttest.Fixture {
	now := time.Unix(1_000_000_000, 0)
	standIn := hostlist.NewFake(func() time.Time { return now })
	return hostlisttest.Fixture{List: standIn, Fake: standIn, Advance: func(d time.Duration) { now = now.Add(d) }}
}

func TestStandInContract(t *testing.T) { hostlisttest.Run(t, open) }

func TestHTTPContract(t *testing.T) {
	hostlisttest.Run(t, func(t *testing.T) hostlisttest.Fixture {
		f := open(t)
		server := httptest.NewServer(hostlist.NewHandler(f.Fake))
		t.Cleanup(server.Close)
		f.List = hostlist.NewClient(server.URL, server.Client())
		return f
	})
}
