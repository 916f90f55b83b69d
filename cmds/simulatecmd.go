package cmds

import (
	"time"

	"dandeliondoor/simul"
)

const simulateHelp = `Simulate the server selection of one service under a load.

The load is a YAML file with servers, their unhealthy periods, classes of requests
and bursts. The simulation runs on a virtual clock and needs no network; the same
file gives the same result. It prints, for each class, how many requests were
served in time, late, refused or failed, and which share of the servers was in use.

Examples:
  dandeliondoor simulate examples/loads/burst.yaml
  dandeliondoor simulate --seed 7 examples/loads/power_loss.yaml`

type simulateCommand struct {
	program   *program
	Seed      *uint64 `long:"seed" description:"seed in place of that of the file" value-name:"N"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"file with the load"`
	} `positional-args:"yes" required:"yes"`
}

var _ commander = &simulateCommand{}

// Execute implements flags.Commander.
func (c *simulateCommand) Execute([]string) error {
	load, err := simul.ReadLoad(c.Arguments.File)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		load.Seed = *c.Seed
	}
	return simul.Run(time.Unix(0, 0), load).Write(c.program.stdout)
}
