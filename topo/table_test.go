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
		{name: "another host", host: "agenda.example", path: "/lots/1"},
		{name: "host in capitals with port", host: "SOUK.example:80", path: "/lots/1", want: "lots"},
		{name: "longest prefix", host: "souk.example", path: "/lots/old/1", want: "deep"},
		{name: "no whole segment", host: "souk.example", path: "/lotsy/1"},
		{name: "prefix itself", host: "souk.example", path: "/lots/", want: "lots"},
		{name: "prefix without its slash", host: "souk.example", path: "/lots"},
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
		name string
		draw float64
		want string
	}{
		{name: "first", draw: 0, want: "old"},
		{name: "last", draw: 0.9999, want: "new"},
		{name: "limit", draw: 0.9, want: "new"},
		{name: "under the limit", draw: 0.8999, want: "old"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := route.Pick(test.draw); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
