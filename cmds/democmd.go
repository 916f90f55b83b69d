package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"

	"dandeliondoor/demo"
	"dandeliondoor/logs"
)

const demoHelp = `Run a small fleet on this machine: four daemons, as processes of the front command,
against stand-ins for the platform's store and its servers. Under load a server
drains and a daemon is killed. Prints what happened and fails if a guarantee was
violated. It takes about 10 s.

Example:
  dandeliondoor demo`

type demoCommand struct {
	program *program
}

var _ commander = &demoCommand{}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	executable, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find own executable")
	}
	logger, err := logs.New(c.program.stderr, "text", "warning")
	if err != nil {
		return err
	}
	logger.RedirectLibraryLogs()
	directory, err := os.MkdirTemp("", "dandeliondoor-demo")
	if err != nil {
		return errors.Wrap(err, "create directory")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := demo.Run(ctx, c.program.stdout, executable, directory); err != nil {
		return errors.Wrapf(err, "the daemons' logs are in %s", directory)
	}
	return os.RemoveAll(directory)
}
