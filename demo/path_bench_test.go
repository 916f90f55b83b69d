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

// BenchmarkPath measures what the whole path adds to a direct call of the same
// upstream, in turns within one run, and the control bytes of one request: the
// upstream's work is 2 ms, the load one request at a time.
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
		var direct, through []time.Duration
		before := traffic(f)
		for i := range requests {
			direct = append(direct, callDirect(b, f.Upstreams[i%3].VM.Address.String()))
			answer := caller.Call(ctx, f.Daemons[i%3], request)
			if answer.Status != http.StatusOK {
				b.Fatalf("%+v", answer)
			}
			through = append(through, answer.Elapsed)
		}
		after := traffic(f)
		slices.Sort(direct)
		slices.Sort(through)
		for _, q := range []struct {
			name string
			at   int
		}{{name: "p50", at: requests / 2}, {name: "p99", at: requests * 99 / 100}} {
			b.ReportMetric(float64(direct[q.at].Microseconds()), "direct_"+q.name+"_us")
			b.ReportMetric(float64(through[q.at].Microseconds()), "through_"+q.name+"_us")
		}
		b.ReportMetric(float64(after.sent-before.sent)/requests, "control_B/request")
		b.ReportMetric(0, "ns/op")
	}
}

func callDirect(b *testing.B, address string) time.Duration {
	b.Helper()
	began := time.Now()
	response, err := http.Get("http://" + address + "/lots")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
	return time.Since(began)
}
