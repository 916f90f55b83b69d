package cmds

import (
	"context"
	"fmt"

	"syscall"
	"time"

	"dandeliondoor/config"
	"dandeliondoor/daemon"
	"dandeliondoor/logs"
	"dandeliondoor/platform"
)

const frontHelp = `Run a daemon on the users' platform until it is told to stop.

Configuration, servers and the other daemons come from the platform's store.
SIGTERM and SIGINT finish what is in flight first. SIGUSR1 prints the state of
all parts to standard error. Logs go to standard output.

Examples:
  dandeliondoor front --settings front.yaml
  DANDELIONDOOR_CONFIG=front.yaml dandeliondoor front`

type frontCommand struct {
	program  *program
	Settings string `long:"settings" env:"DANDELIONDOOR_CONFIG" required:"yes" description:"file with the daemon's settings" value-name:"FILE"`
}

var _ commander = &frontCommand{}

// Execute runs the command.
func (c *frontCommand) Execute([]string) error {
	settings, err := config.LoadFront(c.Settings)
	if err != nil {
		return err
	}
	logger, closer, err := logs.NewBounded(c.program.stdout, settings.Logs.Format, settings.Logs.Level, settings.Logs.LinesPerSecond)
	if err != nil {
		return &ExitError{Code: ExitInvalid, Err: err}
	}
	defer closer.Close()
	logger.TakeLibraryLogs()
	received := takeSignals(syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	sources, store := platform.Sources(settings.Store.Address, settings.Store.Timeout, logger.Part("platform"))
	f, err := daemon.NewFront(settings, daemon.Surroundings{
		Sources:   sources,
		Dialect:   platform.Dialect{},
		ReadyPath: platform.ReadyPath,
		Collector: store.Collector(),
	}, logger)
	if err != nil {
		return err
	}
	ctx := context.Background()
	if err := f.Start(ctx); err != nil {
		return err
	}
	log := logger.Part("daemon").WithField("name", settings.Name).WithField("zone", settings.Zone)
	log.Info("started")
	for received := range received {
		switch received {
		case syscall.SIGUSR1:
			c.dump(f)
		case syscall.SIGHUP:
			log.Info("reload asked for")
		default:
			log.WithField("signal", received.String()).Info("stopping")
			err := f.Stop(ctx)
			log.Info("stopped")
			return err
		}
	}
	return nil
}

func (c *frontCommand) dump(f *daemon.Front) {
	text, err := f.Dump(time.Now())
	if err != nil {
		text = err.Error()
	}
	fmt.Fprintln(c.program.stderr, text)
}
