package broker_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/crash"
	"dandeliondoor/model"
)

// newPool returns a pool without slow start.
func newPool(upstreams, slots, entries int) *broker.Pool {
	declared := model.Pool{Key: "souk/medina/0", Service: "souk", Zone: "medina"}
	for i := range upstreams {
		declared.Upstreams = append(declared.Upstreams, model.Upstream{
			Name: fmt.Sprintf("souk-%02d", i), Slots: slots, Connections: 400,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	pool := broker.NewPool(epoch, declared.Key, 1, broker.WithoutSlowStart())
	pool.Configure(epoch, broker.Configuration{Pool: declared, FloorPercent: 60, Entries: entries})
	return pool
}

// BenchmarkGrant measures granting and releasing one ask, with the current number
// of entries and with that of a region at the target size.
func BenchmarkGrant(b *testing.B) {
	for _, entries := range []int{48, 683} {
		for _, upstreams := range []int{1, 2, 7, 16} {
			b.Run(fmt.Sprintf("entries=%d/upstreams=%d", entries, upstreams), func(b *testing.B) {
				pool := newPool(upstreams, 3, entries)
				seq := uint64(0)
				b.ReportAllocs()
				for b.Loop() {
					seq++
					now := epoch.Add(time.Duration(seq) * 8 * time.Millisecond)
					id := broker.GrantID{Entry: "daemon-0001", Seq: seq}
					pool.Ask(now, broker.Ask{ID: id, Route: "lots", Account: "atlas", Budget: time.Second, Fingerprint: crash.Fingerprint(seq)})
					pool.Release(now, broker.Release{ID: id, Latency: 20 * time.Millisecond, Duration: 20 * time.Millisecond, Load: 0.3})
				}
			})
		}
	}
}

// BenchmarkPoolMemory measures the memory used by a pool of 16 upstreams, and per
// route, queued request and fingerprint.
func BenchmarkPoolMemory(b *testing.B) {
	for _, test := range []struct {
		name string
		fill func(pool *broker.Pool, count int)
	}{
		{name: "fingerprint", fill: func(pool *broker.Pool, count int) {
			for i := range count {
				pool.LearnFingerprint(epoch, crash.Fingerprint(i+1), crash.Suspect)
			}
		}},
		{name: "route", fill: func(pool *broker.Pool, count int) {
			for i := range count {
				id := broker.GrantID{Entry: "daemon-0001", Seq: uint64(i)}
				pool.Ask(epoch, broker.Ask{ID: id, Route: fmt.Sprint("route-", i), Account: "atlas", Budget: time.Second})
				pool.Release(epoch, broker.Release{ID: id, Latency: time.Millisecond, Duration: time.Millisecond, Load: -1})
			}
		}},
		{name: "waiting", fill: func(pool *broker.Pool, count int) {
			for i := range count {
				id := broker.GrantID{Entry: "daemon-0001", Seq: uint64(i)}
				pool.Ask(epoch, broker.Ask{ID: id, Route: "search", Class: model.ClassLong, Account: fmt.Sprint("account-", i), Budget: time.Hour})
			}
		}},
	} {
		b.Run(test.name, func(b *testing.B) {
			const count = 500
			for range b.N {
				pool := newPool(16, 3, 48)
				before := heapBytes()
				test.fill(pool, count)
				b.ReportMetric(float64(heapBytes()-before)/count, "B_each")
				runtime.KeepAlive(pool)
			}
		})
	}
	b.Run("pool_of_16", func(b *testing.B) {
		for range b.N {
			before := heapBytes()
			pool := newPool(16, 3, 48)
			b.ReportMetric(float64(heapBytes()-before), "B_each")
			runtime.KeepAlive(pool)
		}
	})
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
