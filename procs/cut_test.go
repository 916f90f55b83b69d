package procs_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"dandeliondoor/proto"
)

// TestOneWayCut lets replies of a broker no longer arrive while requests still
// reach it, and the other way round: all requests of another daemon are answered
// through the next broker, long before their deadline.
func TestOneWayCut(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 0)
	controls := make(map[string]netip.AddrPort)
	for i := range 3 {
		f.addUpstream(fmt.Sprintf("souk-%02d", i+1), zones[0])
		f.planDaemon(fmt.Sprintf("fes-%d", i+1), zones[0])
	}
	for _, d := range f.daemons {
		link, control := freeAddress(t), freeAddress(t)
		f.start("link", "stand-link", "--listen", link.String(), "--control", control.String(),
			"--target", d.settings.Listen.Daemons.String())
		f.waitFor(control)
		controls[d.settings.Name] = control
		for i := range f.list {
			if f.list[i].Name == d.settings.Name {
				f.list[i].Address = link
			}
		}
	}
	f.setVMs()
	for _, d := range f.daemons {
		f.startDaemon(d)
	}
	f.publishSouk(0)
	f.call(f.daemons[0], http.MethodGet, "/lots", "")
	broker := f.brokerOf("souk-catalogue/fes-medina/0")
	entry := f.daemons[0]
	if entry == broker {
		entry = f.daemons[1]
	}
	all := newLoad(f, func() *daemonProcess { return entry }).run(6, http.MethodPost, "/bales", func() {
		time.Sleep(500 * time.Millisecond)
		for _, fault := range []string{`{"drop_backward":true}`, `{}`, `{"drop_forward":true}`, `{}`} {
			f.put(controls[broker.settings.Name], "/v1/faults", fault)
			time.Sleep(1500 * time.Millisecond)
		}
	})
	good := checkAnswers(t, all, nil)
	f.checkRuns(all)
	t.Logf("%d answered", good)
}

// TestPoison sends a request that crashes what runs it, over and over through
// different daemons, beside innocent traffic: at most two upstreams are lost to
// it, then it is refused as not run, and innocent requests are answered.
func TestPoison(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 9)
	f.publishSouk(0)
	next := 0
	pick := lockedPick(func() *daemonProcess { next++; return f.daemons[next%len(f.daemons)] })
	refusals := 0
	all := newLoad(f, pick).run(4, http.MethodGet, "/lots", func() {
		time.Sleep(300 * time.Millisecond)
		for i := range 30 {
			a := f.call(f.daemons[i%len(f.daemons)], http.MethodGet, "/lots/crash", "")
			if a.header.Get(proto.HeaderReason) == "poisonous_request" {
				refusals++
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
		t.Errorf("the request crashed %d upstreams", crashes)
	}
	if refusals < 20 {
		t.Errorf("%d of 30 poisonous requests refused", refusals)
	}
	good := checkAnswers(t, all, nil)
	t.Logf("%d innocent requests answered, %d crashes, %d refusals", good, crashes, refusals)
}

// TestGray lets one upstream fail all its work while its connections still open:
// callers of repeatable requests see none of it, and it soon gets no more work.
func TestGray(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 9)
	f.publishSouk(60)
	next := 0
	pick := lockedPick(func() *daemonProcess { next++; return f.daemons[next%len(f.daemons)] })
	sick := f.upstreams[0]
	ran := 0
	all := newLoad(f, pick).run(6, http.MethodGet, "/lots", func() {
		time.Sleep(time.Second)
		before := len(f.runs(sick))
		f.faults(sick.control, `{"fail_every":1}`)
		time.Sleep(2 * time.Second)
		ran = len(f.runs(sick)) - before
	})
	good := checkAnswers(t, all, nil)
	if ran > 40 {
		t.Errorf("the gray upstream still ran %d requests in 2 s", ran)
	}
	t.Logf("%d answered, %d of them tried on the gray upstream first", good, ran)
}
