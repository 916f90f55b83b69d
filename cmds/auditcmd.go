package cmds

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"dandeliondoor/audit"
	"dandeliondoor/platform"
	"dandeliondoor/topo"
)

const auditHelp = `Check a configuration of the users' platform before it is sent.

Prints errors, entries that can never match and limits that contradict each
other, and with --against the difference from the version in force. Files hold
the JSON that the store has under op/config. API keys are never printed.

Examples:
  dandeliondoor audit next.json
  dandeliondoor audit --against current.json next.json`

type auditCommand struct {
	program *program
	Against string `long:"against" description:"file with the configuration in force" value-name:"FILE"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

var _ commander = &auditCommand{}

// errProblems means that a configuration is valid and does not do what it seems to.
var errProblems = errors.New("the configuration has problems")

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	next, services, err := loadConfig(c.Args.File)
	if err != nil {
		return err
	}
	problems := audit.Inspect(next, services)
	for _, problem := range problems {
		fmt.Fprintln(c.program.stdout, problem)
	}
	if c.Against != "" {
		current, _, err := loadConfig(c.Against)
		if err != nil {
			return err
		}
		for _, difference := range audit.Compare(current, next) {
			fmt.Fprintln(c.program.stdout, difference)
		}
	}
	if len(problems) > 0 {
		return &ExitError{Code: ExitInvalid, Err: errProblems}
	}
	return nil
}

// loadConfig reads a configuration from a file and returns it with the declared services.
func loadConfig(path string) (*topo.Config, []string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read configuration")
	}
	config, err := platform.DecodeConfig(data)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitInvalid, Err: errors.Wrap(err, path)}
	}
	services, err := platform.DeclaredServices(data)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitInvalid, Err: errors.Wrap(err, path)}
	}
	return config, services, nil
}
