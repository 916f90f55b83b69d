package demo_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"dandeliondoor/decl"
	"dandeliondoor/demo"
)

// BenchmarkPath compares the latency of requests through a daemon with that of
// direct calls to the same upstreams, and measures the control traffic per request.
// Direct calls and calls through daemons alternate within one run, one request at a
// time. The upstreams take 2 ms per request.
func BenchmarkPath(b *testing.B) {
	const requests = 3000
	ctx := context.Background()
	f, err := demo.NewFleet(ctx, demo.Options{Daemons: 3, Zones: []string{"medina"}})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Stop() }()
	d := decl.NewDeployment("path")
	service := d.Service("souk").Route("lots", "souk.example", "/lots", decl.Repeatable())
	for i := range 3 {
		u, err := f.AddUpstream(ctx, fmt.Sprint("souk-", i), "medina", 3, 2*time.Millisecond)
		if err != nil {
			b.Fatal(err)
		}
		service.Upstream(u.VM.Name, "medina", u.VM.Address.String(), 3, 400)
	}
	content, err := d.Build()
	if err != nil {
		b.Fatal(err)
	}
	if err := f.Publish(ctx, content); err != nil {
		b.Fatal(err)
	}
	caller := demo.NewCaller()
	request := demo.Request{Method: http.MethodGet, Host: "souk.example", Path: "/lots"}
	for range b.N {
		var direct, throughDaemon []time.Duration
		before := readControlTraffic(f)
		for i := range requests {
			direct = append(direct, callDirect(b, f.Upstreams[i%3].VM.Address.String()))
			response := caller.Call(ctx, f.Daemons[i%3], request)
			if response.Status != http.StatusOK {
				b.Fatalf("%+v", response)
			}
			throughDaemon = append(throughDaemon, response.Elapsed)
		}
		after := readControlTraffic(f)
		slices.Sort(direct)
		slices.Sort(throughDaemon)
		for _, quantile := range []struct {
			name  string
			index int
		}{{name: "p50", index: requests / 2}, {name: "p99", index: requests * 99 / 100}} {
			b.ReportMetric(float64(direct[quantile.index].Microseconds()), "direct_"+quantile.name+"_us")
			b.ReportMetric(float64(throughDaemon[quantile.index].Microseconds()), "through_"+quantile.name+"_us")
		}
		b.ReportMetric(float64(after.sent-before.sent)/requests, "control_B/request")
		b.ReportMetric(0, "ns/op")
	}
}

func callDirect(b *testing.B, address string) time.Duration {
	b.Helper()
	start := time.Now()
	response, err := http.Get("http://" + address + "/lots")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
	return time.Since(start)
}
