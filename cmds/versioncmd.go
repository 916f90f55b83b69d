package cmds

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

const versionHelp = `Print the version of the program.

Example:
  dandeliondoor version`

type versionCommand struct {
	program *program
}

var _ commander = &versionCommand{}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	version := "unknown"
	if info, known := debug.ReadBuildInfo(); known {
		version = info.Main.Version
	}
	fmt.Fprintf(c.program.stdout, "dandeliondoor %s %s\n", version, runtime.Version())
	return nil
}
