package cmds

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/model"
	"dandeliondoor/spread"
)

const statusHelp = `Show which revisions are in force on daemons, and since when.

Examples:
  dandeliondoor status --daemon 10.0.1.7:8082
  dandeliondoor status --daemon 10.0.1.7:8082 --daemon 10.0.2.7:8082 --output json`

type statusCommand struct {
	program *program
	Daemons []string `long:"daemon" required:"yes" description:"operators' address of a daemon; may be repeated" value-name:"IP:PORT"`
	Output  string   `long:"output" choice:"json" choice:"table" choice:"yaml" default:"table" description:"form of the output"`
}

var _ commander = &statusCommand{}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	statuses := []spread.Status{}
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

func readStatus(daemon string) (spread.Status, error) {
	var status spread.Status
	text, err := getFromDaemon(daemon, "/v1/status")
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(text, &status); err != nil {
		return status, errors.Wrapf(err, "daemon %s", daemon)
	}
	return status, nil
}

func (c *statusCommand) print(statuses []spread.Status) error {
	switch c.Output {
	case "json":
		encoder := json.NewEncoder(c.program.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(statuses)
	case "yaml":
		text, err := model.Marshal(statuses)
		if err != nil {
			return err
		}
		fmt.Fprint(c.program.stdout, text)
		return nil
	default:
		return c.printTable(statuses)
	}
}

func (c *statusCommand) printTable(statuses []spread.Status) error {
	table := tabwriter.NewWriter(c.program.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DAEMON\tDOCUMENT\tREVISION\tSINCE\tAGE OF VIEW")
	for _, status := range statuses {
		for _, document := range status.Documents {
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", status.Daemon, document.Name, document.Revision,
				document.Since.Format(time.RFC3339), status.Age)
		}
		if len(status.Documents) == 0 {
			fmt.Fprintf(table, "%s\tnone\t\t\t%s\n", status.Daemon, status.Age)
		}
	}
	return table.Flush()
}
