package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/topo"
)

// limits are the limits on callers of all configurations.
var limits = topo.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 15 * time.Second}

// addServers starts stand-ins for the servers of a service, which register in the store.
func (f *fleet) addServers(ctx context.Context, service string, count int, work time.Duration) ([]*fakes.Server, error) {
	var servers []*fakes.Server
	for i := range count {
		var server *fakes.Server
		address, err := serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { server.ServeHTTP(w, r) }))
		if err != nil {
			return nil, err
		}
		server = fakes.NewServer(fmt.Sprintf("i-%s-%d", service, i), service, f.shape.Zones[i%len(f.shape.Zones)], address)
		server.Faults.Set(fakes.ServerFaults{Work: work})
		if err := server.Register(f.store, false); err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// brokerOf returns the daemon that ranks first as the broker of a service.
func (f *fleet) brokerOf(service string) *daemon {
	const cores, linkMbps = 0.32, 1000
	var daemons []topo.Daemon
	for _, d := range f.daemons {
		daemons = append(daemons, topo.Daemon{Name: d.name, Capacity: topo.Capacity(cores, linkMbps)})
	}
	first := topo.RankDaemons(service, daemons)[0].Name
	for _, d := range f.daemons {
		if d.name == first {
			return d
		}
	}
	return f.daemons[0]
}

func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }
