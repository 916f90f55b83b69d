package cmds

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
	"dandeliondoor/plat"
	"dandeliondoor/stand"
)

// standIns returns the hidden commands that stand in for the platform and for
// upstreams.
func (p *program) standIns() []entryOf {
	return []entryOf{
		{name: "soak", short: "Run a fleet under faults", command: &soakCommand{program: p}, hidden: true},
		{name: "stand-link", short: "Stand in for a network path", command: &standLinkCommand{program: p}, hidden: true},
		{name: "stand-log", short: "Stand in for the log service", command: &standLogCommand{program: p}, hidden: true},
		{name: "stand-upstream", short: "Stand in for an upstream", command: &standUpstreamCommand{program: p}, hidden: true},
		{name: "stand-vms", short: "Stand in for the list of VMs", command: &standVMsCommand{program: p}, hidden: true},
	}
}

// work is a server that runs until its context ends.
type work func(ctx context.Context) error

// runUntilSignal runs servers until the process is told to stop.
func (p *program) runUntilSignal(works ...work) error {
	logger, err := logs.New(p.stderr, "text", "warning")
	if err != nil {
		return err
	}
	logger.TakeLibraryLogs()
	received := takeSignals(syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var ends []<-chan error
	for _, work := range works {
		ends = append(ends, kernel.Run(ctx, work))
	}
	<-received
	cancel()
	var failures []error
	for _, end := range ends {
		failures = append(failures, <-end)
	}
	return errors.Join(failures...)
}

// serveOn returns the work of serving a handler on an address.
func serveOn(address string, handler http.Handler) (work, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "open port")
	}
	return httpd.NewServer(listener, handler).Serve, nil
}

// serveAlone serves one handler on an address until the process is told to stop.
func (p *program) serveAlone(address string, create func() (http.Handler, error)) error {
	handler, err := create()
	if err != nil {
		return err
	}
	serve, err := serveOn(address, handler)
	if err != nil {
		return err
	}
	return p.runUntilSignal(serve)
}

type standLogCommand struct {
	program *program
	Listen  string `long:"listen" required:"yes"`
}

var _ commander = &standLogCommand{}

// Execute runs the command.
func (c *standLogCommand) Execute([]string) error {
	return c.program.serveAlone(c.Listen, stand.NewLog().Handler)
}

type standVMsCommand struct {
	program *program
	Listen  string `long:"listen" required:"yes"`
	VMs     string `long:"vms" required:"yes" description:"JSON file with the list"`
}

var _ commander = &standVMsCommand{}

// Execute runs the command.
func (c *standVMsCommand) Execute([]string) error {
	data, err := os.ReadFile(c.VMs)
	if err != nil {
		return errors.Wrap(err, "read list of VMs")
	}
	var list plat.VMList
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.Wrap(err, "read list of VMs")
	}
	return c.program.serveAlone(c.Listen, stand.NewVMs(list.VMs).Handler)
}

type standUpstreamCommand struct {
	program *program
	Control string        `long:"control" required:"yes"`
	Listen  string        `long:"listen" required:"yes"`
	Name    string        `long:"name" required:"yes"`
	Service time.Duration `long:"service" default:"5ms"`
	Slots   int           `long:"slots" default:"3"`
}

var _ commander = &standUpstreamCommand{}

// Execute runs the command.
func (c *standUpstreamCommand) Execute([]string) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "open port")
	}
	tracked := stand.NewTrackedListener(listener)
	upstream := stand.NewUpstream(c.Name, c.Slots, c.Service, tracked.CloseConns)
	control, err := upstream.Control()
	if err != nil {
		return err
	}
	serveControl, err := serveOn(c.Control, control)
	if err != nil {
		return err
	}
	return c.program.runUntilSignal(httpd.NewServer(tracked, upstream.Handler()).Serve, serveControl)
}

type standLinkCommand struct {
	program *program
	Control string `long:"control" required:"yes"`
	Listen  string `long:"listen" required:"yes"`
	Target  string `long:"target" required:"yes"`
}

var _ commander = &standLinkCommand{}

// Execute runs the command.
func (c *standLinkCommand) Execute([]string) error {
	target, err := netip.ParseAddrPort(c.Target)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "open port")
	}
	link := stand.NewLink(target)
	control, err := link.Control()
	if err != nil {
		return err
	}
	serveControl, err := serveOn(c.Control, control)
	if err != nil {
		return err
	}
	return c.program.runUntilSignal(func(ctx context.Context) error {
		return link.Serve(ctx, listener)
	}, serveControl)
}
