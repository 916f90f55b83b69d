package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"

	"dandeliondoor/logs"
	"dandeliondoor/soak"
)

var errFindings = errors.New("the soak has findings")

// hiddenCommands returns the commands for tests.
func (p *program) hiddenCommands() []commandEntry {
	return []commandEntry{
		{name: "soak", short: "Run a fleet under injected faults", command: &soakCommand{program: p}, hidden: true},
	}
}

type soakCommand struct {
	program  *program
	Seed     uint64 `long:"seed" default:"1" description:"seed of the fault schedule"`
	Seeds    int    `long:"seeds" default:"1" description:"number of consecutive seeds to run"`
	Rounds   int    `long:"rounds" default:"4" description:"rounds of faults per seed"`
	Daemons  int    `long:"daemons" default:"4" description:"number of daemon processes"`
	Servers  int    `long:"servers" default:"4" description:"number of stand-ins for servers"`
	Callers  int    `long:"callers" default:"6" description:"number of callers that send requests continuously"`
	Queue    bool   `long:"queue" description:"let asks wait at the brokers (scheduling.queue)"`
	Sessions int    `long:"sessions" default:"40" description:"number of callers for each daemon that keep their connections open"`
}

var _ commander = &soakCommand{}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	logger, err := logs.New(c.program.stderr, "text", "warning")
	if err != nil {
		return err
	}
	logger.RedirectLibraryLogs()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	found := false
	for i := range c.Seeds {
		seed := c.Seed + uint64(i)
		report, directory, err := c.run(ctx, program, seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.program.stdout, "seed %d: %s\n", seed, report)
		if len(report.Findings) > 0 {
			found = true
			fmt.Fprintf(c.program.stdout, "logs are in %s\n", directory)
		}
	}
	if found {
		return errFindings
	}
	return nil
}

// run runs the soak with one seed. It keeps the directory with the logs if there are
// findings or the run fails.
func (c *soakCommand) run(
	ctx context.Context, program string, seed uint64,
) (report soak.Report, directory string, err error) {
	directory, err = os.MkdirTemp("", "dandeliondoor-soak")
	if err != nil {
		return soak.Report{}, "", err
	}
	report, err = soak.Run(ctx, soak.Options{
		Seed: seed, Rounds: c.Rounds, Daemons: c.Daemons, Servers: c.Servers, Callers: c.Callers, Sessions: c.Sessions,
		Program: program, Directory: directory, Queue: c.Queue,
	})
	if err == nil && len(report.Findings) == 0 {
		err = os.RemoveAll(directory)
	}
	return report, directory, err
}
