package cmds

import (
	"context"

	"dandeliondoor/demo"
)

const demoHelp = `Run both example deployments at small size in one process, with stand-ins for
the platform and for upstreams, and break things: one upstream turns gray, one
leaves, one daemon stops. Prints what happened and fails if a promise broke.

Example:
  dandeliondoor demo`

type demoCommand struct {
	program *program
}

var _ commander = &demoCommand{}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	return demo.Run(context.Background(), c.program.stdout)
}
