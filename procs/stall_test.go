package procs_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"dandeliondoor/platform"
)

// allowLargeBodies publishes a configuration that allows bodies that a daemon passes on
// while it receives them, and waits until it is in force.
func (f *frontFleet) allowLargeBodies(p *frontProcess) {
	f.t.Helper()
	config := newFrontConfig(2, "bales")
	config.Limits.BodyBytes = 1 << 20
	data, err := platform.EncodeConfig(config)
	must(f.t, err)
	f.store.Put(platform.OperatorTopic, platform.ConfigKey, data)
	f.eventually("a large body to be accepted", func() bool {
		body := strings.Repeat("x", 2000)
		answer := <-f.request(p, http.MethodPost, "/works/1", "large", strings.NewReader(body), int64(len(body)))
		return answer.status == http.StatusOK
	})
}

// TestFrontStalledUpload sends a part of a body. It guards against a request that is not
// answered, at its deadline or at the end of a stop, because the caller has stopped
// sending.
func TestFrontStalledUpload(t *testing.T) {
	t.Parallel()
	const (
		large   = 600 << 10
		timeout = time.Second // That of the route.
	)
	for _, test := range []struct {
		name string
		path string
		size int64
		stop bool
		want int
		min  time.Duration
		max  time.Duration
	}{
		{name: "small, deadline", path: "/brief/1", size: 4, want: http.StatusRequestTimeout, min: timeout, max: 3 * timeout},
		{name: "small, stop", path: "/years/1", size: 4, stop: true, want: http.StatusServiceUnavailable, max: stopLimit},
		{name: "large, deadline", path: "/brief/1", size: large, want: http.StatusGatewayTimeout, min: timeout, max: 3 * timeout},
		{name: "large, stop", path: "/years/1", size: large, stop: true, want: http.StatusGatewayTimeout, min: lastSixth, max: stopLimit},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFrontFleet(t, 1, 2)
			f.allowLargeBodies(f.fronts[0])
			never := make(chan struct{})
			time.AfterFunc(stopLimit+2*time.Second, func() { close(never) })
			began := time.Now()
			start := strings.NewReader(strings.Repeat("x", int(test.size)/2))
			pending := f.request(f.fronts[0], http.MethodPost, test.path, "stalled", &slowBody{start: start, end: never}, test.size)
			if test.stop {
				time.Sleep(300 * time.Millisecond)
				began = f.stop(f.fronts[0])
			}
			answer := <-pending
			took := answer.at.Sub(began)
			if answer.err != nil || answer.status != test.want || took < test.min || took > test.max {
				t.Errorf("got %+v after %s", answer, took)
			}
			if test.stop {
				f.checkExit(f.fronts[0], began)
			}
		})
	}
}
