package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dandeliondoor/config"
	"dandeliondoor/daemon"
	"dandeliondoor/logs"
)

const serveHelp = `Run a daemon until it is told to stop.

SIGTERM and SIGINT finish what is in flight first. SIGUSR1 prints the state of
all parts to standard error. Each setting can be overridden by a variable:
listen.callers by DANDELIONDOOR_LISTEN_CALLERS.

Examples:
  dandeliondoor serve --settings daemon.yaml
  DANDELIONDOOR_LOGS_LEVEL=debug dandeliondoor serve --settings daemon.yaml`

type serveCommand struct {
	program  *program
	Settings string `long:"settings" required:"yes" description:"file with the daemon's settings" value-name:"FILE"`
}

var _ commander = &serveCommand{}

// Execute runs the command.
func (c *serveCommand) Execute([]string) error {
	settings, err := config.Load(c.Settings, os.LookupEnv)
	if err != nil {
		return err
	}
	logger, err := logs.New(c.program.stderr, settings.Logs.Format, settings.Logs.Level)
	if err != nil {
		return &ExitError{Code: ExitInvalid, Err: err}
	}
	logger.TakeLibraryLogs()
	received := takeSignals(syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
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
	for {
		if received := <-received; received != syscall.SIGUSR1 {
			log.WithField("signal", received.String()).Info("stopping")
			return d.Stop(ctx)
		}
		c.dump(d)
	}
}

func (c *serveCommand) dump(d *daemon.Daemon) {
	text, err := d.Dump(time.Now())
	if err != nil {
		text = err.Error()
	}
	fmt.Fprintln(c.program.stderr, text)
}

// takeSignals returns the channel of the signals. It first takes them from
// go-zero, which handles them on its own as soon as it is linked in: it would
// stop its own parts early, and write dumps and profiles to files.
func takeSignals(wanted ...os.Signal) <-chan os.Signal {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGUSR2)
	received := make(chan os.Signal, len(wanted))
	signal.Notify(received, wanted...)
	return received
}
