package procs_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const soukDocument = "service/souk-catalogue"

// publishFloor publishes the catalogue with another floor and returns the
// output and exit code.
func (f *fleet) publishFloor(floor int, options ...string) (string, int) {
	f.t.Helper()
	file := f.write(fmt.Sprintf("floor-%d.yaml", floor), f.souk(floor))
	arguments := append([]string{"publish", "--log", f.log.String()}, options...)
	return f.run(append(arguments, file)...)
}

// inForce waits until all daemons have at least a revision of the catalogue.
func (f *fleet) inForce(revision uint64) {
	f.t.Helper()
	for _, d := range f.daemons {
		f.eventually(fmt.Sprintf("revision %d on %s", revision, d.settings.Name), func() bool {
			return f.revision(d, soukDocument) >= revision
		})
	}
}

// post sends an empty command to a stand-in.
func (f *fleet) post(path, body string) {
	f.t.Helper()
	response, err := http.Post("http://"+f.log.String()+path, "application/json", strings.NewReader(body))
	must(f.t, err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		f.t.Fatalf("POST %s: %d", path, response.StatusCode)
	}
}

// watchRevisions fails the test if the revision of the catalogue falls on any
// daemon before stop is called.
func (f *fleet) watchRevisions() (stop func()) {
	done := make(chan struct{})
	var watching sync.WaitGroup
	for _, d := range append([]*daemonProcess{}, f.daemons...) {
		watching.Go(func() {
			highest := uint64(0)
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				status, read := f.status(d)
				if !read || !status.Covered {
					continue
				}
				revision := uint64(0)
				for _, document := range status.Documents {
					if document.Name == soukDocument {
						revision = document.Revision
					}
				}
				if revision < highest {
					f.t.Errorf("%s fell from revision %d to %d", d.settings.Name, highest, revision)
				}
				highest = max(highest, revision)
			}
		})
	}
	return func() {
		close(done)
		watching.Wait()
	}
}

// TestTwoOperators lets two operators publish on the same base at once, over
// and over: each time exactly one wins, and the other is told.
func TestTwoOperators(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	f.publishSouk(60)
	defer f.watchRevisions()()
	for revision := 1; revision <= 6; revision++ {
		base := fmt.Sprintf("%s=%d", soukDocument, revision)
		codes := make([]int, 2)
		outputs := make([]string, 2)
		files := []string{
			f.write("first.yaml", f.souk(10+revision)),
			f.write("second.yaml", f.souk(30+revision)),
		}
		var operators sync.WaitGroup
		for i := range codes {
			operators.Go(func() {
				outputs[i], codes[i] = f.run("publish", "--log", f.log.String(), "--base", base, files[i])
			})
		}
		operators.Wait()
		if codes[0]+codes[1] != 4 || codes[0]*codes[1] != 0 {
			t.Fatalf("exit codes %v, want one 0 and one 4:\n%s\n%s", codes, outputs[0], outputs[1])
		}
		f.inForce(uint64(revision + 1))
	}
}

// TestAugust takes the log away for longer than it keeps records, replaces
// daemons meanwhile, and lets the log come back empty: no revision ever falls,
// and operators can publish again.
func TestAugust(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6, 3)
	f.publishSouk(60)
	if output, code := f.publishFloor(50); code != 0 {
		t.Fatal(output)
	}
	f.inForce(2)
	stop := f.watchRevisions()

	f.faults(f.log, `{"refuse":true}`)
	for _, d := range f.daemons[:5] {
		d.signal(t, syscall.SIGKILL)
		d.exit(t)
		f.startDaemon(d)
		f.daemonReady(d)
		if revision := f.revision(d, soukDocument); revision != 2 {
			t.Errorf("%s came back with revision %d", d.settings.Name, revision)
		}
	}
	if output, code := f.publishFloor(40); code != 5 {
		t.Errorf("publish without a log ended with %d: %s", code, output)
	}

	f.post("/v1/truncate", `{"before":2}`)
	f.faults(f.log, `{}`)
	f.eventually("a publication after the log forgot everything", func() bool {
		_, code := f.publishFloor(40)
		return code == 0
	})
	f.inForce(3)

	f.post("/v1/empty", `{}`)
	f.eventually("a publication after the log was emptied", func() bool {
		_, code := f.publishFloor(30)
		return code == 0
	})
	f.inForce(4)
	stop()
	for _, d := range f.daemons {
		d.signal(t, syscall.SIGKILL)
		d.exit(t)
	}
	f.startDaemon(f.daemons[0])
	f.daemonReady(f.daemons[0])
	if revision := f.revision(f.daemons[0], soukDocument); revision != 4 {
		t.Errorf("a daemon that started alone from the log has revision %d", revision)
	}
}

// TestLostAnswers publishes while appends take effect and their answers are
// lost, and while nothing more can be read afterwards.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	f.publishSouk(60)
	f.faults(f.log, `{"drop_answers":true}`)
	output, code := f.publishFloor(50)
	if code != 0 || !strings.Contains(output, "the log's answer was lost; the record was found") {
		t.Errorf("publish with a lost answer ended with %d: %s", code, output)
	}
	f.inForce(2)
	f.faults(f.log, `{"drop_answers":true,"refuse_reads_after_append":true}`)
	output, code = f.publishFloor(40)
	if code != 6 || !strings.Contains(output, "is not seen yet; run publish again") {
		t.Errorf("publish that cannot read back ended with %d: %s", code, output)
	}
	f.faults(f.log, `{}`)
	output, code = f.publishFloor(40)
	if code != 0 || !strings.Contains(output, "unchanged") {
		t.Errorf("publish again ended with %d: %s", code, output)
	}
	f.inForce(3)
}

// TestInvalid publishes what cannot be in force; nothing changes.
func TestInvalid(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	f.publishSouk(60)
	output, code := f.run("publish", "--log", f.log.String(), "testdata/invalid.yaml")
	if code != 3 || !strings.Contains(output, "testdata/invalid.yaml:2:") {
		t.Errorf("ended with %d: %s", code, output)
	}
	response, err := http.Post("http://"+f.log.String()+"/v1/records", "application/json", strings.NewReader("no record"))
	must(t, err)
	response.Body.Close()
	if output, code := f.publishFloor(50); code != 0 {
		t.Errorf("publish behind a foreign record ended with %d: %s", code, output)
	}
	f.inForce(2)
}
