package fold_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"dandeliondoor/fold"
)

// documentBytes is the size of one service's document in a deployment of the
// target size: 41 upstreams and 27 routes.
const documentBytes = 6 << 10

// BenchmarkApply measures applying a publication that changes one document, for
// states of different sizes.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{1, 10, 100, 1080} {
		b.Run(fmt.Sprintf("documents=%d", count), func(b *testing.B) {
			body := strings.Repeat("x", documentBytes)
			before := heapBytes()
			state := fold.NewState()
			for i := range count {
				state.Merge([]fold.Document{{Name: fmt.Sprint("service/", i), Revision: 1, Body: body + fmt.Sprint(i)}})
			}
			retained := heapBytes() - before
			revision := uint64(1)
			for b.Loop() {
				data, err := fold.Encode(fold.Record{Publication: &fold.Publication{
					ID: fmt.Sprint(revision), Documents: []fold.Change{{Name: "service/0", Base: revision, Body: body}},
				}})
				if err != nil {
					b.Fatal(err)
				}
				if _, accepted := state.Apply(revision, data).(fold.Accepted); !accepted {
					b.Fatal("not accepted")
				}
				revision++
			}
			b.ReportMetric(float64(retained)/1024, "state_KB")
			b.ReportMetric(float64(len(fold.CheckpointParts(state, "c", fold.CheckpointPartBytes))), "checkpoint_records")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
