package cmds

import (
	"context"

	"dandeliondoor/demo"
)

const demoHelp = `Run small versions of both example deployments in one process, with stand-ins
for the platform and the upstreams, and inject faults: one upstream has a gray
failure, one leaves, one daemon stops. Prints what happened and fails if a
guarantee was violated.

Example:
  dandeliondoor demo`

type demoCommand struct {
	program *program
}

var _ commander = &demoCommand{}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	return demo.Run(context.Background(), c.program.stdout)
}
