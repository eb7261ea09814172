package routing

import "testing"

// Guards against matching the route of a shorter prefix, of another host, or of a path that only looks similar.
func TestFind(t *testing.T) {
	table := NewTable(&Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	}})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example:80", "/x/yy/1", "short"},
		{"A.Example", "/x/", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	}
	for _, c := range cases {
		got := ""
		if route := table.Find(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a distribution that deviates from the weights within one round, also after a change of weights.
func TestSplitter(t *testing.T) {
	splitter := NewSplitter()
	for _, weights := range [][]int{{90, 10}, {50, 50}, {1, 2, 7}} {
		route := &Route{Name: "r"}
		total := 0
		for i, weight := range weights {
			route.Split = append(route.Split, WeightedService{Service: string(rune('a' + i)), Weight: weight})
			total += weight
		}
		counts := make(map[string]int)
		for range total {
			counts[splitter.Next(route)]++
		}
		for _, share := range route.Split {
			if counts[share.Service] != share.Weight {
				t.Errorf("weights %v: service %s got %d of %d", weights, share.Service, counts[share.Service], total)
			}
		}
	}
}
