package cmds

import (
	"github.com/go-faster/errors"
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
	return errors.New("not built yet")
}
