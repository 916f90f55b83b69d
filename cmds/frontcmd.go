package cmds

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/config"
	"dandeliondoor/daemon"
	"dandeliondoor/logs"
	"dandeliondoor/platform"
)

// reloadInterval is how often the settings are compared with what was read last,
// for they may change without a signal.
const reloadInterval = time.Second

const frontHelp = `Run a daemon on the users' platform until it is told to stop.

Configuration, servers and the other daemons come from the platform's store.
SIGTERM and SIGINT finish what is in flight first. SIGHUP reads the settings
again. SIGUSR1 prints the state of all parts to standard error. Logs go to
standard output.

Examples:
  dandeliondoor front --settings front.yaml
  DANDELIONDOOR_CONFIG=front.yaml dandeliondoor front`

type frontCommand struct {
	program  *program
	Settings string `long:"settings" env:"DANDELIONDOOR_CONFIG" required:"yes" description:"file with the daemon's settings" value-name:"FILE"`

	text []byte
}

var _ commander = &frontCommand{}

// Execute runs the command.
func (c *frontCommand) Execute([]string) error {
	settings, err := config.LoadFront(c.Settings)
	if err != nil {
		return err
	}
	c.text, err = os.ReadFile(c.Settings)
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
	f, err := daemon.NewFront(settings, daemon.Platform{
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
	c.serve(f, log, received)
	err = f.Stop(ctx)
	log.WithField("clean", err == nil).Info("stopped")
	return err
}

// serve takes signals and changed settings until a signal asks for the end.
func (c *frontCommand) serve(f *daemon.Front, log *logrus.Entry, received <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.reload(f, log)
		case signal := <-received:
			switch signal {
			case syscall.SIGHUP:
				log.Info("told to read the settings again")
				c.reload(f, log)
			case syscall.SIGUSR1:
				c.dump(f)
			default:
				log.WithField("signal", signal.String()).Info("stopping")
				return
			}
		}
	}
}

// reload takes the settings up if their text has changed; bad ones are refused,
// and those in force stay.
func (c *frontCommand) reload(f *daemon.Front, log *logrus.Entry) {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		log.WithError(err).Warn("settings cannot be read; those in force stay")
		return
	}
	if bytes.Equal(text, c.text) {
		return
	}
	c.text = text
	settings, err := config.ParseFront(c.Settings, text)
	if err != nil {
		log.WithError(err).Warn("new settings refused; those in force stay")
		return
	}
	restart, err := f.Reload(settings)
	if err != nil {
		log.WithError(err).Warn("new settings refused; those in force stay")
		return
	}
	log.WithField("needs_restart", restart).Info("new settings taken up")
}

func (c *frontCommand) dump(f *daemon.Front) {
	text, err := f.Dump(time.Now())
	if err != nil {
		text = err.Error()
	}
	fmt.Fprintln(c.program.stderr, text)
}
