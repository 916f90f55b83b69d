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

	"dandeliondoor/fakes"
	"dandeliondoor/httpd"
	"dandeliondoor/infra"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
)

// hiddenCommands returns the commands for tests: the soak, and the stand-ins for the
// platform, network paths and upstreams.
func (p *program) hiddenCommands() []commandEntry {
	return []commandEntry{
		{name: "soak", short: "Run a fleet under injected faults", command: &soakCommand{program: p}, hidden: true},
		{name: "stand-link", short: "Run a stand-in for a network path", command: &standLinkCommand{program: p}, hidden: true},
		{name: "stand-log", short: "Run a stand-in for the log service", command: &standLogCommand{program: p}, hidden: true},
		{name: "stand-upstream", short: "Run a stand-in for an upstream", command: &standUpstreamCommand{program: p}, hidden: true},
		{name: "stand-vms", short: "Run a stand-in for the list of VMs", command: &standVMsCommand{program: p}, hidden: true},
	}
}

// runFunc runs a server until the context ends.
type runFunc func(ctx context.Context) error

// runUntilSignal runs servers until the process receives SIGTERM or SIGINT.
func (p *program) runUntilSignal(runs ...runFunc) error {
	logger, err := logs.New(p.stderr, "text", "warning")
	if err != nil {
		return err
	}
	logger.RedirectLibraryLogs()
	signals := notifySignals(syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var results []<-chan error
	for _, run := range runs {
		results = append(results, kernel.Run(ctx, run))
	}
	<-signals
	cancel()
	var errs []error
	for _, result := range results {
		errs = append(errs, <-result)
	}
	return errors.Join(errs...)
}

// listenHTTP listens on address and returns a function that serves handler on it.
func listenHTTP(address string, handler http.Handler) (runFunc, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on address")
	}
	return httpd.NewServer(listener, handler).Serve, nil
}

// runHandler serves one handler on address until the process receives SIGTERM or
// SIGINT.
func (p *program) runHandler(address string, create func() (http.Handler, error)) error {
	handler, err := create()
	if err != nil {
		return err
	}
	serve, err := listenHTTP(address, handler)
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

// Execute implements flags.Commander.
func (c *standLogCommand) Execute([]string) error {
	return c.program.runHandler(c.Listen, fakes.NewLog().Handler)
}

type standVMsCommand struct {
	program *program
	Listen  string `long:"listen" required:"yes"`
	VMs     string `long:"vms" required:"yes" description:"JSON file with the list"`
}

var _ commander = &standVMsCommand{}

// Execute implements flags.Commander.
func (c *standVMsCommand) Execute([]string) error {
	data, err := os.ReadFile(c.VMs)
	if err != nil {
		return errors.Wrap(err, "read list of VMs")
	}
	var list infra.VMList
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.Wrap(err, "read list of VMs")
	}
	return c.program.runHandler(c.Listen, fakes.NewVMs(list.VMs).Handler)
}

type standUpstreamCommand struct {
	program     *program
	Control     string        `long:"control" required:"yes"`
	Listen      string        `long:"listen" required:"yes"`
	Name        string        `long:"name" required:"yes"`
	ServiceTime time.Duration `long:"service" default:"5ms"`
	Slots       int           `long:"slots" default:"3"`
}

var _ commander = &standUpstreamCommand{}

// Execute implements flags.Commander.
func (c *standUpstreamCommand) Execute([]string) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen on address")
	}
	tracked := fakes.NewTrackedListener(listener)
	upstream := fakes.NewUpstream(c.Name, c.Slots, c.ServiceTime, tracked.CloseConns)
	control, err := upstream.Control()
	if err != nil {
		return err
	}
	serveControl, err := listenHTTP(c.Control, control)
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

// Execute implements flags.Commander.
func (c *standLinkCommand) Execute([]string) error {
	target, err := netip.ParseAddrPort(c.Target)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen on address")
	}
	link := fakes.NewLink(target)
	control, err := link.Control()
	if err != nil {
		return err
	}
	serveControl, err := listenHTTP(c.Control, control)
	if err != nil {
		return err
	}
	return c.program.runUntilSignal(func(ctx context.Context) error {
		return link.Serve(ctx, listener)
	}, serveControl)
}
