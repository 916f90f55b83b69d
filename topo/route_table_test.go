package topo_test

import (
	"testing"

	"dandeliondoor/topo"
)

func TestFind(t *testing.T) {
	t.Parallel()
	table := topo.NewRouteTable(&topo.Config{Routes: []topo.Route{
		{Name: "deep", Host: "souk.example", Prefix: "/lots/old/"},
		{Name: "lots", Host: "souk.example", Prefix: "/lots/"},
		{Name: "root", Host: "caja.example", Prefix: "/"},
	}})
	for _, test := range []struct {
		name string
		host string
		path string
		want string
	}{
		{name: "unknown host", host: "agenda.example", path: "/lots/1"},
		{name: "upper-case host with port", host: "SOUK.example:80", path: "/lots/1", want: "lots"},
		{name: "longest prefix", host: "souk.example", path: "/lots/old/1", want: "deep"},
		{name: "partial path segment", host: "souk.example", path: "/lotsy/1"},
		{name: "path equal to prefix", host: "souk.example", path: "/lots/", want: "lots"},
		{name: "prefix without trailing slash", host: "souk.example", path: "/lots"},
		{name: "root", host: "caja.example", path: "/a/b", want: "root"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			got := ""
			if found := table.Find(test.host, test.path); found != nil {
				got = found.Name
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestPick(t *testing.T) {
	t.Parallel()
	route := topo.Route{Targets: []topo.Target{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	for _, test := range []struct {
		name     string
		fraction float64
		want     string
	}{
		{name: "first", fraction: 0, want: "old"},
		{name: "last", fraction: 0.9999, want: "new"},
		{name: "limit", fraction: 0.9, want: "new"},
		{name: "just below the limit", fraction: 0.8999, want: "old"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := route.Pick(test.fraction); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
