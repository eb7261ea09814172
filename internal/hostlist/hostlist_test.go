package hostlist_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/hostlist"
	"github.com/sapphireplank/sapphireplank/internal/hostlist/hostlisttest"
	"github.com/sapphireplank/sapphireplank/internal/malformed"
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

// Guards against bytes that are no whole answer and count as a list, in which hosts are missing.
func TestMalformedAnswers(t *testing.T) {
	replies := malformed.Replies("", "[]")
	for _, body := range []string{"null", "", "{}", "[]]", "[] []", "[{}"} {
		replies = append(replies, malformed.Whole("", body))
	}
	for _, reply := range replies {
		listener, err := malformed.Listen(func(*http.Request) string { return reply.Text })
		if err != nil {
			t.Fatal(err)
		}
		if hosts, err := hostlist.NewClient("http://"+listener.Addr().String(), &http.Client{}).Hosts(t.Context()); err == nil {
			t.Errorf("%s: hosts %+v", reply.Name, hosts)
		}
		listener.Close()
	}
}
