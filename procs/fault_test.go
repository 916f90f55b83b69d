package procs_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"dandeliondoor/proto"
)

// TestOneWayPartition drops the traffic from a broker while requests still reach it,
// and then the traffic to it. All requests through another daemon succeed
// through the next broker, well before their deadline.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 0)
	controls := make(map[string]netip.AddrPort)
	for i := range 3 {
		f.addUpstream(fmt.Sprintf("souk-%02d", i+1), zones[0])
		f.addDaemon(fmt.Sprintf("fes-%d", i+1), zones[0])
	}
	for _, d := range f.daemons {
		link, control := freeAddress(t), freeAddress(t)
		f.start("link", "stand-link", "--listen", link.String(), "--control", control.String(),
			"--target", d.settings.Listen.Daemons.String())
		f.waitListening(control)
		controls[d.settings.Name] = control
		for i := range f.vmList {
			if f.vmList[i].Name == d.settings.Name {
				f.vmList[i].Address = link
			}
		}
	}
	f.publishVMs()
	for _, d := range f.daemons {
		f.startDaemon(d)
	}
	f.publishFirst(0)
	f.call(f.daemons[0], http.MethodGet, "/lots", "")
	broker := f.brokerOf("souk-catalogue/fes-medina/0")
	entry := f.daemons[0]
	if entry == broker {
		entry = f.daemons[1]
	}
	samples := newLoadGenerator(f, func() *daemonProcess { return entry }).run(6, http.MethodPost, "/bales", func() {
		time.Sleep(500 * time.Millisecond)
		for _, fault := range []string{`{"drop_backward":true}`, `{}`, `{"drop_forward":true}`, `{}`} {
			f.put(controls[broker.settings.Name], "/v1/faults", fault)
			time.Sleep(1500 * time.Millisecond)
		}
	})
	succeeded := checkResponses(t, samples, nil)
	f.checkRuns(samples)
	t.Logf("%d requests succeeded", succeeded)
}

// TestCrashingRequest repeatedly sends a request that crashes the upstream that runs
// it, through different daemons and alongside harmless traffic. It may crash at most
// two upstreams before the daemons reject it, and all harmless requests succeed.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 9)
	f.publishFirst(0)
	next := 0
	pick := lockedPick(func() *daemonProcess { next++; return f.daemons[next%len(f.daemons)] })
	rejections := 0
	samples := newLoadGenerator(f, pick).run(4, http.MethodGet, "/lots", func() {
		time.Sleep(300 * time.Millisecond)
		for i := range 30 {
			a := f.call(f.daemons[i%len(f.daemons)], http.MethodGet, "/lots/crash", "")
			if a.header.Get(proto.HeaderReason) == "poisonous_request" {
				rejections++
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	crashes := 0
	for _, u := range f.upstreams {
		for _, run := range f.runs(u) {
			if run.Path == "/lots/crash" {
				crashes++
			}
		}
	}
	if crashes > 2 {
		t.Errorf("the request caused %d crashes, want at most 2", crashes)
	}
	if rejections < 20 {
		t.Errorf("%d of 30 crashing requests rejected, want at least 20", rejections)
	}
	succeeded := checkResponses(t, samples, nil)
	t.Logf("%d harmless requests succeeded, %d crashes, %d rejections", succeeded, crashes, rejections)
}

// TestFailingUpstream makes one upstream fail all requests while it still accepts
// connections. Repeatable requests succeed nevertheless, and the upstream soon
// receives almost none.
func TestFailingUpstream(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 9)
	f.publishFirst(60)
	next := 0
	pick := lockedPick(func() *daemonProcess { next++; return f.daemons[next%len(f.daemons)] })
	failing := f.upstreams[0]
	ran := 0
	samples := newLoadGenerator(f, pick).run(6, http.MethodGet, "/lots", func() {
		time.Sleep(time.Second)
		before := len(f.runs(failing))
		f.setFaults(failing.controlAddress, `{"fail_every":1}`)
		time.Sleep(2 * time.Second)
		ran = len(f.runs(failing)) - before
	})
	succeeded := checkResponses(t, samples, nil)
	if ran > 40 {
		t.Errorf("the failing upstream ran %d requests in 2 s, want at most 40", ran)
	}
	t.Logf("%d requests succeeded; the failing upstream ran %d", succeeded, ran)
}
