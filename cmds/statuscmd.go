package cmds

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/check"
	"dandeliondoor/feed"
)

const statusHelp = `Show which version of the configuration daemons use, from which source their
view comes, and how old it is.

Examples:
  dandeliondoor status --daemon 10.0.1.7:8082
  dandeliondoor status --daemon 10.0.1.7:8082 --daemon 10.0.2.7:8082 --output json`

// ageUnit is the unit to which the age of a view is rounded in the output.
const ageUnit = time.Millisecond

type statusCommand struct {
	program *program
	Daemons []string `long:"daemon" required:"yes" description:"operators' address of a daemon; may be repeated" value-name:"IP:PORT"`
	Output  string   `long:"output" choice:"json" choice:"table" choice:"yaml" default:"table" description:"form of the output"`
}

var _ commander = &statusCommand{}

// daemonStatus is the view of one daemon.
type daemonStatus struct {
	Daemon  string `json:"daemon"  yaml:"daemon"`
	Version uint64 `json:"version" yaml:"version"`
	Source  string `json:"source"  yaml:"source"`
	Age     string `json:"age"     yaml:"age"`
	Servers int    `json:"servers" yaml:"servers"`
	Daemons int    `json:"daemons" yaml:"daemons"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	statuses := []daemonStatus{}
	var errs []error
	for _, daemon := range c.Daemons {
		status, err := readStatus(daemon)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		statuses = append(statuses, status)
	}
	if err := c.print(statuses); err != nil {
		return err
	}
	if len(errs) > 0 {
		return &ExitError{Code: ExitUnreachable, Err: errors.Join(errs...)}
	}
	return nil
}

func readStatus(daemon string) (daemonStatus, error) {
	text, err := getFromDaemon(daemon, "/v1/status")
	if err != nil {
		return daemonStatus{}, err
	}
	var state feed.State
	if err := json.Unmarshal(text, &state); err != nil {
		return daemonStatus{}, errors.Wrapf(err, "daemon %s", daemon)
	}
	return daemonStatus{
		Daemon: daemon, Version: state.Version, Source: state.Source, Age: state.Age.Round(ageUnit).String(),
		Servers: state.Servers, Daemons: state.Daemons,
	}, nil
}

func (c *statusCommand) print(statuses []daemonStatus) error {
	switch c.Output {
	case "json":
		encoder := json.NewEncoder(c.program.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(statuses)
	case "yaml":
		text, err := check.Encode(statuses)
		if err != nil {
			return err
		}
		fmt.Fprint(c.program.stdout, text)
		return nil
	default:
		return c.printTable(statuses)
	}
}

func (c *statusCommand) printTable(statuses []daemonStatus) error {
	table := tabwriter.NewWriter(c.program.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DAEMON\tVERSION\tSOURCE\tAGE OF VIEW\tSERVERS\tDAEMONS")
	for _, s := range statuses {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%d\n", s.Daemon, s.Version, s.Source, s.Age, s.Servers, s.Daemons)
	}
	return table.Flush()
}
