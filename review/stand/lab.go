package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/fakes"
	"dandeliondoor/platform"
	"dandeliondoor/topo"
)

// The names in the deployment of the stand-ins.
const (
	host         = "souk.example"
	serviceName  = "souk"
	otherService = "caisse"
	zoneName     = "fes-medina"
)

// Ports of daemons, below the usual range of ephemeral ports.
const (
	firstPort = 20000
	lastPort  = 28000
)

// Times of the deployment, of which a few are bounds of its site file.
const (
	heartbeatInterval = 1500 * time.Millisecond
	contactTime       = 3 * time.Second
	drainTime         = 2 * time.Second
	stopLimit         = 6 * time.Second
	readyTimeout      = 20 * time.Second
	pollInterval      = 50 * time.Millisecond
	headTimeout       = 10 * time.Second
	// restartDelay is how long a process that has ended stays down.
	restartDelay = 500 * time.Millisecond
)

const program = "target/dandeliondoor"

var errNotReady = errors.New("daemon did not become ready")

// lab is a small deployment: a store and servers in this process, and daemons as processes of
// their own.
type lab struct {
	counters

	store        *fakes.Store
	storeAddress netip.AddrPort
	ports        *fakes.Ports
	directory    string
	log          *recorder
	daemons      []*daemon
	onCrash      func(u *upstream)

	mutex    sync.Mutex
	lateBy   time.Duration
	beats    map[string]time.Time
	arrivals []arrival
}

// recorder writes the lines of record.txt.
type recorder struct {
	mutex sync.Mutex
	file  io.Writer
	start time.Time
}

func (r *recorder) printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// newLab starts a store. Its files are in a temporary directory, which end removes.
func newLab(ctx context.Context, log *recorder) (*lab, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, errors.Wrap(err, "build the program first")
	}
	directory, err := os.MkdirTemp("", "dandeliondoor-review-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		store: fakes.NewStore(), ports: fakes.NewPorts(firstPort, lastPort), directory: directory, log: log,
		beats: make(map[string]time.Time),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: l.withLateWrites(l.store.Handler()), ReadHeaderTimeout: headTimeout}
	go func() { _ = server.Serve(listener) }()
	go l.expire(ctx)
	l.storeAddress, err = netip.ParseAddrPort(listener.Addr().String())
	return l, err
}

func (l *lab) expire(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.expireEntries(now)
		}
	}
}

// crashed is called by a server that a request crashes.
func (l *lab) crashed(u *upstream) {
	if l.onCrash != nil {
		l.onCrash(u)
	}
}

// publish stores the first version of the configuration: routes to one service for requests that may
// run once only and for others, and a route to another service.
func (l *lab) publish() error {
	targets := []topo.Target{{Service: serviceName, Weight: 1}}
	data, err := platform.EncodeConfig(&topo.Config{
		Version: 1,
		Routes: []topo.Route{{
			Name: "reserve", Host: host, Prefix: "/reserve/", Timeout: timeout, Objective: objective,
			Attempts: maxAttempts, Priority: 1, Targets: targets,
		}, {
			Name: "browse", Host: host, Prefix: "/browse/", Idempotent: true, Timeout: timeout, Objective: objective,
			Attempts: maxAttempts, Priority: 2, Targets: targets,
		}, {
			Name: "pay", Host: host, Prefix: "/pay/", Timeout: timeout, Objective: objective,
			Attempts: maxAttempts, Targets: []topo.Target{{Service: otherService, Weight: 1}},
		}},
		Limits: topo.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	if err != nil {
		return err
	}
	l.store.Put(platform.OperatorTopic, platform.ConfigKey, data)
	l.log.printf("operator: version 1 stored")
	return nil
}

// daemon is one process of the program.
type daemon struct {
	name      string
	callers   netip.AddrPort
	readiness netip.AddrPort
	settings  string
	command   *exec.Cmd
	exited    chan struct{}
}

// addDaemons starts daemons with settings as the template of the deploy file gives them, and waits
// until all are ready.
func (l *lab) addDaemons(count int) error {
	seed := ""
	for i := range count {
		ports := make([]netip.AddrPort, 4)
		for j := range ports {
			port, err := l.ports.Free()
			if err != nil {
				return err
			}
			ports[j] = port
		}
		if seed == "" {
			seed = ports[2].String()
		}
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zoneName, i+1), callers: ports[0], readiness: ports[1]}
		d.settings = filepath.Join(l.directory, d.name+".yaml")
		settings := fmt.Sprintf(settingsFormat, d.name, zoneName, seed, ports[0], ports[1], ports[2], ports[3],
			l.storeAddress, drainTime, stopLimit)
		if err := os.WriteFile(d.settings, []byte(settings), 0o600); err != nil {
			return err
		}
		if err := l.start(d); err != nil {
			return err
		}
		l.daemons = append(l.daemons, d)
	}
	return l.waitReady()
}

const settingsFormat = `name: %s
zone: %s
cores: 0.32
link_mbps: 1000.0
first_start: false
seeds: [%s]
listen:
  callers: %s
  readiness: %s
  daemons: %s
  operators: %s
store:
  address: %s
  drain_due: %s
retries:
  ratio: 0.2
  window: 10s
  slack: 64
stop:
  limit: %s
`

// start starts the process of a daemon.
func (l *lab) start(d *daemon) error {
	output, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(program, "front")
	command.Env = append(os.Environ(), "DANDELIONDOOR_CONFIG="+d.settings)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = command.Wait()
	}()
	d.command, d.exited = command, exited
	l.log.printf("daemon %s started, process %d, callers at %s", d.name, command.Process.Pid, d.callers)
	return nil
}

// restart ends daemons at once with a signal and starts each again after a delay.
func (l *lab) restart(daemons []*daemon, signal syscall.Signal) error {
	for _, d := range daemons {
		if err := d.command.Process.Signal(signal); err != nil {
			return err
		}
		l.log.printf("daemon %s gets %s", d.name, signal)
	}
	for _, d := range daemons {
		// The platform kills a process that has not ended in time.
		kill := time.AfterFunc(stopLimit, func() { _ = d.command.Process.Kill() })
		<-d.exited
		kill.Stop()
		l.log.printf("daemon %s has ended", d.name)
	}
	time.Sleep(restartDelay)
	for _, d := range daemons {
		if err := l.start(d); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until all daemons say that they are ready.
func (l *lab) waitReady() error {
	for _, d := range l.daemons {
		if err := d.waitReady(); err != nil {
			return err
		}
	}
	l.log.printf("all daemons ready")
	return nil
}

func (d *daemon) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		response, err := http.Get("http://" + d.readiness.String() + platform.ReadyPath)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// end kills the daemons that are left.
func (l *lab) end() {
	for _, d := range l.daemons {
		_ = d.command.Process.Signal(syscall.SIGCONT)
		_ = d.command.Process.Kill()
		<-d.exited
	}
	_ = l.ports.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.directory)
	}
}
