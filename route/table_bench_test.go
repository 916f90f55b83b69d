package route_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dandeliondoor/model"
	"dandeliondoor/route"
)

// newDeployment returns a deployment with services of 27 routes each and shards of
// 1000 accounts each.
func newDeployment(routes, accounts int) model.Deployment {
	const routesEach, accountsEach = 27, 1000
	var deployment model.Deployment
	for i := 0; i < routes; i += routesEach {
		service := model.Service{Name: fmt.Sprintf("service-%04d", i/routesEach)}
		for j := range min(routesEach, routes-i) {
			service.Routes = append(service.Routes, model.Route{
				Name: fmt.Sprintf("route-%02d", j), Host: service.Name + ".example",
				PathPrefix: fmt.Sprintf("/path-%02d", j), Deadline: time.Second,
			})
		}
		deployment.Services = append(deployment.Services, service)
	}
	for i := 0; i < accounts; i += accountsEach {
		shard := model.AccountShard{Name: fmt.Sprint("shard-", i)}
		for j := range accountsEach {
			shard.Accounts = append(shard.Accounts, model.Account{Name: fmt.Sprintf("account-%06d", i+j), MaxInFlight: 9})
		}
		deployment.AccountShards = append(deployment.AccountShards, shard)
	}
	return deployment
}

// BenchmarkTable measures the lookup time, the build time and the memory use of the
// table, up to the size that it has to support.
func BenchmarkTable(b *testing.B) {
	for _, size := range []struct{ routes, accounts int }{
		{routes: 25, accounts: 1000},
		{routes: 250, accounts: 2000},
		{routes: 2500, accounts: 15000},
		{routes: 25000, accounts: 150000},
	} {
		b.Run(fmt.Sprintf("routes=%d/accounts=%d", size.routes, size.accounts), func(b *testing.B) {
			deployment := newDeployment(size.routes, size.accounts)
			before := heapBytes()
			start := time.Now()
			table := route.New(deployment)
			buildTime := time.Since(start)
			tableBytes := heapBytes() - before
			host := deployment.Services[len(deployment.Services)/2].Name + ".example"
			for b.Loop() {
				if _, found := table.Find(host, "/path-07/lots/12"); !found {
					b.Fatal("no target found")
				}
			}
			b.ReportMetric(float64(buildTime.Microseconds())/1000, "build_ms")
			b.ReportMetric(float64(tableBytes)/1024, "table_KB")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
