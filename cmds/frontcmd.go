package cmds

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"dandeliondoor/config"
	"dandeliondoor/daemon"
	"dandeliondoor/logs"
	"dandeliondoor/platform"
)

// reloadInterval is the interval at which the settings file is checked for changes,
// since it may change without a signal.
const reloadInterval = time.Second

const frontHelp = `Run a daemon on the users' platform until a signal stops it.

Configuration, servers and the other daemons come from the platform's store.
On SIGTERM or SIGINT the daemon finishes the requests in flight, for at most
stop.limit, and stops. On SIGHUP it reloads the settings. On SIGUSR1 it prints
the state of all parts to standard error. Logs go to standard output.

Examples:
  dandeliondoor front --settings front.yaml
  DANDELIONDOOR_CONFIG=front.yaml dandeliondoor front`

// memoryLimitPercent is the part of the memory of the process, in percent, that the Go
// runtime aims to stay within. The rest is for what it doesn't count and can't reclaim.
const (
	memoryLimitPercent = 75
	percent            = 100
	mebibyte           = 1 << 20
)

type frontCommand struct {
	program  *program
	Settings string `long:"settings" env:"DANDELIONDOOR_CONFIG" required:"yes" description:"file with the daemon's settings" value-name:"FILE"`

	lastText []byte
}

var _ commander = &frontCommand{}

// Execute implements flags.Commander.
func (c *frontCommand) Execute([]string) error {
	settings, err := config.LoadFront(c.Settings)
	if err != nil {
		return err
	}
	settings = platform.ApplyTerms(settings)
	c.lastText, err = os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	logger, closer, err := logs.NewBounded(c.program.stdout, settings.Logs.Format, settings.Logs.Level, settings.Logs.LinesPerSecond)
	if err != nil {
		return &ExitError{Code: ExitInvalid, Err: err}
	}
	defer closer.Close()
	logger.RedirectLibraryLogs()
	// The collector works more as the heap comes near the limit, rather than let it double.
	debug.SetMemoryLimit(settings.MemoryMB * mebibyte * memoryLimitPercent / percent)
	signals := notifySignals(syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
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
	tasks := newBackground(ctx)
	c.serve(f, log, tasks, signals)
	err = errors.Join(f.Stop(ctx, time.Now()), tasks.close())
	log.WithField("clean", err == nil).Info("stopped")
	return err
}

// serve handles signals and reloads changed settings until a signal stops the
// daemon.
func (c *frontCommand) serve(f *daemon.Front, log *logrus.Entry, tasks *background, signals <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			tasks.do(func() { c.reload(f, log) })
		case signal := <-signals:
			switch signal {
			case syscall.SIGHUP:
				log.Info("received SIGHUP; reloading settings")
				tasks.do(func() { c.reload(f, log) })
			case syscall.SIGUSR1:
				tasks.do(func() { c.dump(f) })
			default:
				log.WithField("signal", signal.String()).Info("stopping")
				return
			}
		}
	}
}

// reload applies the settings file if its text has changed. If it is invalid, the
// current settings stay.
func (c *frontCommand) reload(f *daemon.Front, log *logrus.Entry) {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		log.WithError(err).Warn("failed to read settings; keeping the current ones")
		return
	}
	if bytes.Equal(text, c.lastText) {
		return
	}
	c.lastText = text
	settings, err := config.ParseFront(c.Settings, text)
	if err != nil {
		log.WithError(err).Warn("new settings refused; keeping the current ones")
		return
	}
	restart, err := f.Reload(platform.ApplyTerms(settings))
	if err != nil {
		log.WithError(err).Warn("new settings refused; keeping the current ones")
		return
	}
	log.WithField("needs_restart", restart).Info("new settings applied")
}

func (c *frontCommand) dump(f *daemon.Front) {
	text, err := f.Dump(time.Now())
	if err != nil {
		text = err.Error()
	}
	fmt.Fprintln(c.program.stderr, text)
}
