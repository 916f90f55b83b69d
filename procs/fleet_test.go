package procs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandeliondoor/config"
	"dandeliondoor/decl"
	"dandeliondoor/fakes"
	"dandeliondoor/infra"
	"dandeliondoor/model"
	"dandeliondoor/spread"
)

// program is the path of the binary that TestMain builds and all processes run.
var program string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "dandeliondoor")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(directory, "dandeliondoor")
	build := exec.Command("go", "build", "-o", program, "dandeliondoor")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// waitTimeout limits each wait for an expected event.
const waitTimeout = 30 * time.Second

// process is a running process of the program.
type process struct {
	name    string
	command *exec.Cmd
	output  *syncBuffer
	exited  chan error
}

// syncBuffer is a buffer that is safe for concurrent use. It collects the output of
// a process.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (l *syncBuffer) Write(data []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(data)
}

func (l *syncBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.String()
}

// daemonProcess is a daemon of the serve command and its settings.
type daemonProcess struct {
	*process
	zone         string
	settings     config.Settings
	settingsFile string
}

// upstreamProcess is an upstream stand-in and its addresses.
type upstreamProcess struct {
	*process
	vm             infra.VM
	controlAddress netip.AddrPort
	slots          int
}

// fleet is a complete installation in separate processes: the stand-ins of the log
// and the list of VMs, daemons, and upstreams.
type fleet struct {
	t          *testing.T
	directory  string
	logAddress netip.AddrPort
	vmsAddress netip.AddrPort
	daemons    []*daemonProcess
	upstreams  []*upstreamProcess
	vmList     []infra.VM
	retention  time.Duration

	// output replaces the buffers of the processes that are started from now on.
	output *os.File
}

var zones = []string{"fes-medina", "fes-jdid", "sidi-brahim"}

// newFleet starts the stand-ins of the platform, the upstreams and the daemons.
// Upstreams and daemons are each assigned to the zones in turn.
func newFleet(t *testing.T, daemons, upstreams int) *fleet {
	t.Helper()
	f := &fleet{t: t, directory: t.TempDir(), logAddress: freeAddress(t), vmsAddress: freeAddress(t), retention: time.Hour}
	f.start("log", "stand-log", "--listen", f.logAddress.String())
	for i := range upstreams {
		f.addUpstream(fmt.Sprintf("souk-%02d", i+1), zones[i%len(zones)])
	}
	for i := range daemons {
		f.addDaemon(fmt.Sprintf("fes-%d", i+1), zones[i%len(zones)])
	}
	data, err := json.Marshal(infra.VMList{VMs: f.vmList})
	must(t, err)
	file := filepath.Join(f.directory, "vms.json")
	must(t, os.WriteFile(file, data, 0o600))
	f.start("vms", "stand-vms", "--listen", f.vmsAddress.String(), "--vms", file)
	f.waitListening(f.logAddress)
	f.waitListening(f.vmsAddress)
	for _, d := range f.daemons {
		f.startDaemon(d)
	}
	return f
}

// addUpstream starts an upstream and adds it to the list of VMs.
func (f *fleet) addUpstream(name, zone string) {
	u := &upstreamProcess{
		vm:             infra.VM{Name: name, Address: freeAddress(f.t), Zone: zone, Role: infra.RoleUpstream, State: infra.VMLive},
		controlAddress: freeAddress(f.t),
		slots:          3,
	}
	u.process = f.start(name, "stand-upstream", "--name", name, "--listen", u.vm.Address.String(),
		"--control", u.controlAddress.String(), "--slots", fmt.Sprint(u.slots))
	f.upstreams = append(f.upstreams, u)
	f.vmList = append(f.vmList, u.vm)
}

// addDaemon adds a daemon to the fleet and to the list of VMs. It does not start it.
func (f *fleet) addDaemon(name, zone string) {
	settings := config.Defaults()
	settings.Name, settings.Zone, settings.Zones = name, zone, zones
	settings.Listen.Callers, settings.Listen.Daemons = freeAddress(f.t), freeAddress(f.t)
	settings.Listen.Operators = freeAddress(f.t)
	settings.Platform.Log, settings.Platform.VMs = f.logAddress, f.vmsAddress
	settings.Platform.VMsInterval = 200 * time.Millisecond
	settings.Platform.LogRetention = f.retention
	settings.Stop.BalancerLag = balancerLag
	d := &daemonProcess{zone: zone, settings: settings, settingsFile: filepath.Join(f.directory, name+".yaml")}
	f.daemons = append(f.daemons, d)
	f.vmList = append(f.vmList, infra.VM{
		Name: name, Address: settings.Listen.Daemons, Zone: zone, Role: infra.RoleDaemon, State: infra.VMLive,
	})
}

func (f *fleet) startDaemon(d *daemonProcess) {
	f.t.Helper()
	text := strings.NewReplacer(
		"NAME", d.settings.Name, "ZONE", d.zone, "CALLERS", d.settings.Listen.Callers.String(),
		"DAEMONS", d.settings.Listen.Daemons.String(), "OPERATORS", d.settings.Listen.Operators.String(),
		"LOG", f.logAddress.String(), "VMS", f.vmsAddress.String(), "RETENTION", d.settings.Platform.LogRetention.String(),
	).Replace(`name: NAME
zone: ZONE
zones: [fes-medina, fes-jdid, sidi-brahim]
listen: {callers: CALLERS, daemons: DAEMONS, operators: OPERATORS}
platform: {log: LOG, vms: VMS, vms_interval: 200ms, log_retention: RETENTION}
stop: {balancer_lag: 300ms}
logs: {level: debug}
`)
	must(f.t, os.WriteFile(d.settingsFile, []byte(text), 0o600))
	d.process = f.start(d.settings.Name, "serve", "--settings", d.settingsFile)
}

// start starts a process and kills it when the test ends.
func (f *fleet) start(name string, arguments ...string) *process {
	f.t.Helper()
	p := &process{name: name, command: exec.Command(program, arguments...), output: &syncBuffer{}, exited: make(chan error, 1)}
	p.command.Stdout, p.command.Stderr = p.output, p.output
	if f.output != nil {
		p.command.Stdout, p.command.Stderr = f.output, f.output
	}
	must(f.t, p.command.Start())
	go func() { p.exited <- p.command.Wait() }()
	f.t.Cleanup(func() {
		_ = p.command.Process.Kill()
		if f.t.Failed() && os.Getenv("SHOW_OUTPUT") != "" {
			f.t.Logf("output of %s:\n%s", name, p.output)
		}
	})
	return p
}

func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	must(t, p.command.Process.Signal(signal))
}

// waitExit waits until the process exits and returns its exit code.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit within the timeout:\n%s", p.name, p.output)
		return -1
	}
}

func (f *fleet) waitListening(address netip.AddrPort) {
	f.t.Helper()
	f.eventually("a listener on "+address.String(), func() bool {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
}

// eventually waits until a condition holds and fails the test after waitTimeout.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s", what)
}

// waitReady waits until all daemons report that they are ready.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, d := range f.daemons {
		f.waitDaemonReady(d)
	}
}

func (f *fleet) waitDaemonReady(d *daemonProcess) {
	f.t.Helper()
	f.eventually(d.settings.Name+" to become ready", func() bool {
		response, err := http.Get("http://" + d.settings.Listen.Operators.String() + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// deployment declares the catalogue service with all upstreams of the fleet.
func (f *fleet) deployment(floor int) *decl.Deployment {
	d := decl.NewDeployment("souk")
	service := d.Service("souk-catalogue", decl.Floor(floor)).
		Route("lots", "souk.example", "/lots", decl.Repeatable(), decl.Deadline(5*time.Second)).
		Route("lots-search", "souk.example", "/search", decl.Repeatable(), decl.Long(), decl.Deadline(60*time.Second)).
		Route("bales", "souk.example", "/bales", decl.Deadline(5*time.Second))
	for _, u := range f.upstreams {
		service.Upstream(u.vm.Name, u.vm.Zone, u.vm.Address.String(), u.slots, 400)
	}
	d.Accounts("cooperatives", model.Account{Name: "atlas", MaxInFlight: 30})
	return d
}

// writeDeployment writes a deployment to a file and returns its path.
func (f *fleet) writeDeployment(name string, deployment *decl.Deployment) string {
	f.t.Helper()
	path := filepath.Join(f.directory, name)
	file, err := os.Create(path)
	must(f.t, err)
	must(f.t, deployment.Print(file))
	must(f.t, file.Close())
	return path
}

// runCommand runs the program with the given arguments and returns its output and
// exit code.
func (f *fleet) runCommand(arguments ...string) (string, int) {
	f.t.Helper()
	command := exec.Command(program, arguments...)
	output, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		f.t.Fatal(err)
	}
	return string(output), command.ProcessState.ExitCode()
}

// publishFirst publishes the catalogue as the first publication and waits until
// all daemons are ready.
func (f *fleet) publishFirst(floor int) {
	f.t.Helper()
	output, code := f.runCommand("publish", "--log", f.logAddress.String(), "--first", f.writeDeployment("souk.yaml", f.deployment(floor)))
	if code != 0 {
		f.t.Fatalf("publish exited with code %d: %s", code, output)
	}
	f.waitReady()
}

// status returns the status of the configuration of a daemon, and whether it could
// be read.
func (f *fleet) status(d *daemonProcess) (spread.Status, bool) {
	var status spread.Status
	response, err := http.Get("http://" + d.settings.Listen.Operators.String() + "/v1/status")
	if err != nil {
		return status, false
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status) == nil
}

// revision returns the revision of a document that a daemon uses, or 0 if there is
// none.
func (f *fleet) revision(d *daemonProcess, name string) uint64 {
	status, _ := f.status(d)
	for _, document := range status.Documents {
		if document.Name == name {
			return document.Revision
		}
	}
	return 0
}

// setFaults sets the faults that a stand-in injects.
func (f *fleet) setFaults(control netip.AddrPort, faults string) {
	f.t.Helper()
	f.put(control, "/v1/faults", faults)
}

func (f *fleet) put(address netip.AddrPort, path, body string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+address.String()+path, strings.NewReader(body))
	must(f.t, err)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	must(f.t, err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		f.t.Fatalf("PUT %s: %d %s", path, response.StatusCode, text)
	}
}

// publishVMs sends the list of VMs to its stand-in.
func (f *fleet) publishVMs() {
	f.t.Helper()
	data, err := json.Marshal(infra.VMList{VMs: f.vmList})
	must(f.t, err)
	f.put(f.vmsAddress, "/v1/vms", string(data))
}

// runs returns the requests that an upstream has run.
func (f *fleet) runs(u *upstreamProcess) []fakes.Run {
	f.t.Helper()
	return getControl[[]fakes.Run](f, u, "/v1/runs")
}

// sheds returns how many requests the upstreams rejected because they had no free
// slot.
func (f *fleet) sheds() int {
	f.t.Helper()
	total := 0
	for _, u := range f.upstreams {
		total += getControl[int](f, u, "/v1/sheds")
	}
	return total
}

// getControl requests a path from an upstream's control address and decodes the JSON
// response.
func getControl[Reply any](f *fleet, u *upstreamProcess, path string) Reply {
	f.t.Helper()
	var reply Reply
	response, err := http.Get("http://" + u.controlAddress.String() + path)
	must(f.t, err)
	defer response.Body.Close()
	must(f.t, json.NewDecoder(response.Body).Decode(&reply))
	return reply
}

// callResult is the response to a request, or the error of the caller.
type callResult struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

// call sends a request to a daemon as a caller does. The headers are names and
// values in turn.
func (f *fleet) call(d *daemonProcess, method, path, body string, headers ...string) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	target := "http://" + d.settings.Listen.Callers.String() + path
	request, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Host = "souk.example"
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i] == "Host" {
			request.Host = headers[i+1]
			continue
		}
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, trailer: response.Trailer, body: string(text), err: err}
}

// ports allocates the ports of the processes. The soak uses a different range.
var ports = fakes.NewPorts(18000, 32000)

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := ports.Free()
	must(t, err)
	return address
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
