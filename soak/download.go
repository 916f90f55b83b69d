package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/fakes"
	"dandeliondoor/kernel"
	"dandeliondoor/platform"
)

// Settings of downloads by slow callers.
const (
	// downloadModulus divides the seeds that have downloads.
	downloadModulus = 5
	downloadRoute   = "hauls"
	downloadTimeout = 3 * time.Second
	// downloadCallers is how many callers read from one daemon at once. Without bounds of
	// the memory for responses that are read ahead, what they don't read exceeds memoryMB.
	downloadCallers = 700
	// memoryMB is the memory_mb of the daemons' settings in seeds with downloads.
	memoryMB         = 96
	memoryInterval   = 100 * time.Millisecond
	minDownloadBytes = 400 << 10
	maxDownloadBytes = 540 << 10
	// A caller reads downloadPart at a time, with pauses of up to maxDownloadPause between two
	// parts, so that the slowest don't get the largest responses within the route's timeout.
	downloadPart     = 16 << 10
	maxDownloadPause = 400 * time.Millisecond
	// maxDownloadRest is the longest time between two downloads of a caller.
	maxDownloadRest = time.Second
	// callersPerReader is how many callers there are for one that reads to the end. The others
	// stop reading within the first maxReadBeforeStop bytes.
	callersPerReader  = 3
	maxReadBeforeStop = 64 << 10
	kilobyte          = 1024
)

// downloadStream is the second seed of the source for the downloads.
const downloadStream = 6

// hasDownloads reports whether callers of a seed download large responses.
func hasDownloads(seed uint64) bool { return seed%downloadModulus == 0 }

// startDownloads starts callers that read large responses of one daemon slowly or stop.
func (f *fleet) startDownloads(ctx context.Context, r *recorder, planned bool) []<-chan error {
	if !hasDownloads(f.options.Seed) {
		return nil
	}
	d := f.daemons[f.downloads.IntN(len(f.daemons))]
	results := make([]<-chan error, downloadCallers)
	for i := range results {
		random := rand.New(rand.NewPCG(f.options.Seed, f.downloads.Uint64()))
		results[i] = kernel.Run(ctx, func(ctx context.Context) error {
			for ctx.Err() == nil {
				s := &session{fleet: f, recorder: r, daemon: d, random: random, planned: planned}
				s.download(ctx)
				sleep(ctx, time.Duration(random.Int64N(int64(maxDownloadRest))))
			}
			return nil
		})
	}
	return results
}

// download requests a large response on a new connection, reads it slowly, and checks that
// it is whole unless its end shows that it isn't.
func (s *session) download(ctx context.Context) {
	dialer := net.Dialer{Control: fakes.LimitBuffers}
	conn, err := dialer.DialContext(ctx, "tcp", s.daemon.callersAddress.String())
	if err != nil {
		return
	}
	defer conn.Close()
	size := minDownloadBytes + s.random.IntN(maxDownloadBytes-minDownloadBytes)
	m := s.newMessage(http.MethodGet, fmt.Sprintf("/%s/a?%s=%d", downloadRoute, fakes.SizeParameter, size), downloadTimeout)
	// Slow callers may lose their responses, as those that leave.
	m.call.abandoned, m.call.sentAt = true, time.Now()
	_ = conn.SetDeadline(m.call.sentAt.Add(downloadTimeout + responseSlack))
	reader := &slowReader{reader: conn, pause: time.Duration(s.random.Int64N(int64(maxDownloadPause)))}
	if s.random.IntN(callersPerReader) > 0 {
		reader.left = s.random.IntN(maxReadBeforeStop)
		reader.stops = true
	}
	signature, body := "", []byte(nil)
	if _, err = io.WriteString(conn, m.parts[0]); err == nil {
		m.call.lastByteAt = time.Now()
		m.call.status, signature, body, err = readResponse(reader)
	}
	m.call.endedAt = time.Now()
	if err != nil {
		m.call.status = 0
	}
	m.call.signed = signature != ""
	s.recorder.addCall(m.call)
	if m.call.status != http.StatusOK {
		return
	}
	s.recorder.addDownload()
	s.recorder.checkResponse(m.call.id, signature, string(body), m.call.method+" "+m.target+" ")
	if len(body) != size && len(body) != streamBytes && string(body) != m.call.id {
		s.recorder.addFinding("%s got %d of %d bytes without a sign that they are not all", m.call, len(body), size)
	}
}

// readResponse reads a response to its end.
func readResponse(from io.Reader) (status int, signature string, body []byte, err error) {
	response, err := http.ReadResponse(bufio.NewReaderSize(from, downloadPart), nil)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(platform.HeaderSignature), body, err
}

// slowReader reads a part at a time, with a pause after each. One that stops reads what is
// left, and then nothing until the deadline of its connection.
type slowReader struct {
	reader io.Reader
	pause  time.Duration
	stops  bool
	left   int
}

// errStopped ends the read of a caller that has stopped reading.
var errStopped = errors.New("caller stopped reading")

// Read implements io.Reader.
func (s *slowReader) Read(buffer []byte) (int, error) {
	if s.stops && s.left <= 0 {
		time.Sleep(downloadTimeout + time.Second)
		return 0, errStopped
	}
	count, err := s.reader.Read(buffer[:min(len(buffer), downloadPart)])
	s.left -= count
	time.Sleep(s.pause)
	return count, err
}

// measureMemory records the largest memory of each daemon until the context ends.
func (f *fleet) measureMemory(ctx context.Context) error {
	if !hasDownloads(f.options.Seed) {
		return nil
	}
	for ctx.Err() == nil {
		for _, d := range f.daemons {
			f.recorder.addMemory(d.name, d.residentKB())
		}
		sleep(ctx, memoryInterval)
	}
	return nil
}

// residentKB returns the largest resident memory of the daemon's process so far, 0 if it
// has ended.
func (d *daemon) residentKB() int {
	d.mutex.Lock()
	id := d.command.Process.Pid
	d.mutex.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); fields[0] == "VmHWM:" {
			size, _ := strconv.Atoi(fields[1])
			return size
		}
	}
	return 0
}
