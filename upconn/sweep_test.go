package upconn_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"dandeliondoor/kernel"
	"dandeliondoor/upconn"
)

// TestCloseStaleDuringRequests sends requests over a pool while all idle connections are
// closed as stale again and again, and contexts of other requests end just after their
// responses. It guards against a connection that is closed, or gets the deadline of an
// earlier request, after it was taken for a request.
func TestCloseStaleDuringRequests(t *testing.T) {
	t.Parallel()
	const (
		callers, requests = 16, 200
		keptSweeps        = 3
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		w.Header().Set("Content-Length", "0")
	}))
	t.Cleanup(server.Close)
	target := upconn.Target{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), ID: "i-1"}
	pool := upconn.NewPool(func() {})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	swept := kernel.Run(ctx, func(ctx context.Context) error {
		for i := 0; ctx.Err() == nil; i++ {
			pool.CloseStale(time.Now(), func(upconn.Target) bool { return i%keptSweeps != 0 })
		}
		return nil
	})
	var workers sync.WaitGroup
	for caller := range callers {
		workers.Go(func() {
			for i := range requests {
				requestCtx, end := context.WithCancel(ctx)
				if _, err := do(requestCtx, pool, target, fmt.Sprintf("%d-%d", caller, i)); err != nil {
					t.Errorf("request %d of caller %d failed: %v", i, caller, err)
				}
				end()
			}
		})
	}
	workers.Wait()
	cancel()
	<-swept
}
