package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/config"
	"dandeliondoor/daemon"
	"dandeliondoor/logs"
)

const serveHelp = `Run a daemon until a signal stops it.

On SIGTERM or SIGINT the daemon finishes the requests in flight, for at most
stop.limit, and stops. On SIGUSR1 it prints the state of all parts to standard
error. SIGHUP has no effect: settings are read at the start only. Each setting
can be overridden by an environment variable, such as listen.callers by
DANDELIONDOOR_LISTEN_CALLERS.

Examples:
  dandeliondoor serve --settings daemon.yaml
  DANDELIONDOOR_LOGS_LEVEL=debug dandeliondoor serve --settings daemon.yaml`

type serveCommand struct {
	program  *program
	Settings string `long:"settings" required:"yes" description:"file with the daemon's settings" value-name:"FILE"`
}

var _ commander = &serveCommand{}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	settings, err := config.Load(c.Settings, os.LookupEnv)
	if err != nil {
		return err
	}
	logger, err := logs.New(c.program.stderr, settings.Logs.Format, settings.Logs.Level)
	if err != nil {
		return &ExitError{Code: ExitInvalid, Err: err}
	}
	logger.RedirectLibraryLogs()
	signals := notifySignals(syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	d, err := daemon.New(settings, logger)
	if err != nil {
		return err
	}
	ctx := context.Background()
	if err := d.Start(ctx); err != nil {
		return err
	}
	log := logger.Part("daemon").WithField("name", settings.Name)
	log.Info("started")
	tasks := newBackground(ctx)
	for {
		switch signal := <-signals; signal {
		case syscall.SIGHUP:
			log.Info("received SIGHUP; settings are read at the start only")
		case syscall.SIGUSR1:
			tasks.do(func() { c.dump(d) })
		default:
			log.WithField("signal", signal.String()).Info("stopping")
			return errors.Join(d.Stop(ctx), tasks.close())
		}
	}
}

func (c *serveCommand) dump(d *daemon.Daemon) {
	text, err := d.Dump(time.Now())
	if err != nil {
		text = err.Error()
	}
	fmt.Fprintln(c.program.stderr, text)
}

// notifySignals returns a channel that receives the given signals. It first removes
// the signal handlers that go-zero installs when it is linked in: they would shut
// down go-zero's own components early, and write dumps and profiles to files. A log
// whose reader is gone must not end the process, so it ignores SIGPIPE.
func notifySignals(wanted ...os.Signal) <-chan os.Signal {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGUSR2)
	signal.Ignore(syscall.SIGPIPE)
	received := make(chan os.Signal, len(wanted))
	signal.Notify(received, wanted...)
	return received
}
