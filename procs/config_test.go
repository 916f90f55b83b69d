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

const serviceDocument = "service/souk-catalogue"

// publishWithFloor publishes the catalogue with the given floor and returns the
// output and exit code of the command.
func (f *fleet) publishWithFloor(floor int, options ...string) (string, int) {
	f.t.Helper()
	file := f.writeDeployment(fmt.Sprintf("floor-%d.yaml", floor), f.deployment(floor))
	arguments := append([]string{"publish", "--log", f.logAddress.String()}, options...)
	return f.runCommand(append(arguments, file)...)
}

// waitRevision waits until all daemons use at least the given revision of the
// catalogue.
func (f *fleet) waitRevision(revision uint64) {
	f.t.Helper()
	for _, d := range f.daemons {
		f.eventually(fmt.Sprintf("revision %d on %s", revision, d.settings.Name), func() bool {
			return f.revision(d, serviceDocument) >= revision
		})
	}
}

// postLog sends a POST request with a JSON body to the log stand-in.
func (f *fleet) postLog(path, body string) {
	f.t.Helper()
	response, err := http.Post("http://"+f.logAddress.String()+path, "application/json", strings.NewReader(body))
	must(f.t, err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		f.t.Fatalf("POST %s: %d", path, response.StatusCode)
	}
}

// watchRevisions fails the test if the revision of the catalogue decreases on any
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
					if document.Name == serviceDocument {
						revision = document.Revision
					}
				}
				if revision < highest {
					f.t.Errorf("%s went back from revision %d to %d", d.settings.Name, highest, revision)
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

// TestConcurrentPublish repeatedly runs two publications on the same base at once.
// Each time exactly one is accepted, and the other exits with the code for a
// conflict.
func TestConcurrentPublish(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	f.publishFirst(60)
	defer f.watchRevisions()()
	for revision := 1; revision <= 6; revision++ {
		base := fmt.Sprintf("%s=%d", serviceDocument, revision)
		codes := make([]int, 2)
		outputs := make([]string, 2)
		files := []string{
			f.writeDeployment("first.yaml", f.deployment(10+revision)),
			f.writeDeployment("second.yaml", f.deployment(30+revision)),
		}
		var operators sync.WaitGroup
		for i := range codes {
			operators.Go(func() {
				outputs[i], codes[i] = f.runCommand("publish", "--log", f.logAddress.String(), "--base", base, files[i])
			})
		}
		operators.Wait()
		if codes[0]+codes[1] != 4 || codes[0]*codes[1] != 0 {
			t.Fatalf("got exit codes %v, want one 0 and one 4:\n%s\n%s", codes, outputs[0], outputs[1])
		}
		f.waitRevision(uint64(revision + 1))
	}
}

// TestLogOutage covers an outage of the log during which daemons are replaced,
// followed by the loss of old records, as after an outage that is longer than the
// log's retention, and then of all records. No daemon goes back to an older revision,
// and operators can publish again. A daemon that starts alone afterwards reads the
// newest revision from the log.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6, 3)
	f.publishFirst(60)
	if output, code := f.publishWithFloor(50); code != 0 {
		t.Fatal(output)
	}
	f.waitRevision(2)
	stop := f.watchRevisions()

	f.setFaults(f.logAddress, `{"refuse":true}`)
	for _, d := range f.daemons[:5] {
		d.signal(t, syscall.SIGKILL)
		d.waitExit(t)
		f.startDaemon(d)
		f.waitDaemonReady(d)
		if revision := f.revision(d, serviceDocument); revision != 2 {
			t.Errorf("%s has revision %d after its restart, want 2", d.settings.Name, revision)
		}
	}
	if output, code := f.publishWithFloor(40); code != 5 {
		t.Errorf("publish without a log exited with code %d, want 5: %s", code, output)
	}

	f.postLog("/v1/truncate", `{"before":2}`)
	f.setFaults(f.logAddress, `{}`)
	f.eventually("an accepted publication after the log was truncated", func() bool {
		_, code := f.publishWithFloor(40)
		return code == 0
	})
	f.waitRevision(3)

	f.postLog("/v1/empty", `{}`)
	f.eventually("an accepted publication after the log was emptied", func() bool {
		_, code := f.publishWithFloor(30)
		return code == 0
	})
	f.waitRevision(4)
	stop()
	for _, d := range f.daemons {
		d.signal(t, syscall.SIGKILL)
		d.waitExit(t)
	}
	f.startDaemon(f.daemons[0])
	f.waitDaemonReady(f.daemons[0])
	if revision := f.revision(f.daemons[0], serviceDocument); revision != 4 {
		t.Errorf("a daemon that started alone from the log has revision %d, want 4", revision)
	}
}

// TestLostAppendResponse publishes while the log stores appended records but closes
// the connection without a response. The publish command finds its record by reading
// the log. If the log cannot be read either, the command reports that it has not seen
// the record yet, and a second run after the fault finds nothing left to change.
func TestLostAppendResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	f.publishFirst(60)
	f.setFaults(f.logAddress, `{"drop_answers":true}`)
	output, code := f.publishWithFloor(50)
	if code != 0 || !strings.Contains(output, "the log's answer was lost; the record was found") {
		t.Errorf("publish with a lost response exited with code %d, want 0: %s", code, output)
	}
	f.waitRevision(2)
	f.setFaults(f.logAddress, `{"drop_answers":true,"refuse_reads_after_append":true}`)
	output, code = f.publishWithFloor(40)
	if code != 6 || !strings.Contains(output, "is not seen yet; run publish again") {
		t.Errorf("publish that cannot read the log exited with code %d, want 6: %s", code, output)
	}
	f.setFaults(f.logAddress, `{}`)
	output, code = f.publishWithFloor(40)
	if code != 0 || !strings.Contains(output, "unchanged") {
		t.Errorf("second publish exited with code %d, want 0: %s", code, output)
	}
	f.waitRevision(3)
}

// TestPublishInvalid publishes an invalid deployment, which is rejected with the
// position of the fault. A record in the log that is not a publication does not
// prevent later publications.
func TestPublishInvalid(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	f.publishFirst(60)
	output, code := f.runCommand("publish", "--log", f.logAddress.String(), "testdata/invalid.yaml")
	if code != 3 || !strings.Contains(output, "testdata/invalid.yaml:2:") {
		t.Errorf("publish exited with code %d, want 3: %s", code, output)
	}
	response, err := http.Post("http://"+f.logAddress.String()+"/v1/records", "application/json", strings.NewReader("no record"))
	must(t, err)
	response.Body.Close()
	if output, code := f.publishWithFloor(50); code != 0 {
		t.Errorf("publish after an invalid record exited with code %d, want 0: %s", code, output)
	}
	f.waitRevision(2)
}
