package cmds

import (
	"fmt"
	"text/tabwriter"
	"time"

	"dandeliondoor/trace"
)

const traceHelp = `Print what the logs of daemons have about one request, in the order of time.

The logs are files of JSON lines, one for each daemon. Besides the lines
with the ID, those with the request's fingerprint or content are printed,
and with --around those about a daemon that had the request.

Examples:
  dandeliondoor trace 9c41d07be2a35f68 front-*.log
  dandeliondoor trace --around 2s 9c41d07be2a35f68 front-*.log`

type traceCommand struct {
	program *program
	Around  time.Duration `long:"around" description:"also print what its daemons logged so long before and after" value-name:"DURATION"`
	Args    struct {
		Request string   `positional-arg-name:"ID"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

var _ commander = &traceCommand{}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	result, err := trace.Search{Request: c.Args.Request, Around: c.Around}.Files(c.Args.Files)
	if err != nil {
		return err
	}
	if result.Malformed > 0 {
		fmt.Fprintf(c.program.stderr, "lines with the ID that are not JSON with a time: %d\n", result.Malformed)
	}
	fmt.Fprintf(c.program.stdout, "request %s, first line %s\n", c.Args.Request, result.Began.Format(time.RFC3339Nano))
	table := tabwriter.NewWriter(c.program.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "AFTER\tLOG\tLINE\tMESSAGE\tFIELDS")
	for _, line := range result.Lines {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", line.Time.Sub(result.Began), line.Log, line.Number, line.Message, line.Fields())
	}
	return table.Flush()
}
