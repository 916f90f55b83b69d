package cmds

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/model"
	"dandeliondoor/plat"
	"dandeliondoor/pubs"
)

const checkHelp = `Check a deployment and report all findings, each with its place.

With --log the difference against what is in force is shown as well.

Examples:
  dandeliondoor check fes.yaml
  dandeliondoor check --log 10.0.0.5:9001 fes.yaml`

// logTimeout bounds one call of the log service by a command.
const logTimeout = 5 * time.Second

type checkCommand struct {
	program *program
	Log     string `long:"log" description:"address of the log service" value-name:"IP:PORT"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

var _ commander = &checkCommand{}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	deployment, err := loadDeployment(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.program.stdout, "valid")
	if c.Log == "" {
		return nil
	}
	publisher, err := loadPublisher(context.Background(), c.Log)
	if err != nil {
		return err
	}
	documents, err := model.Documents(deployment)
	if err != nil {
		return err
	}
	changes := pubs.Plan(publisher.State(), documents, false)
	fmt.Fprint(c.program.stdout, pubs.Diff(publisher.State(), changes))
	return nil
}

// loadPublisher returns a publisher that has read the log at an address.
func loadPublisher(ctx context.Context, text string) (*pubs.Publisher, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: errors.Errorf("--log: %q is not IP and port", text)}
	}
	publisher := pubs.NewPublisher(plat.NewLog(address, logTimeout))
	if result := publisher.Load(ctx); result != nil {
		return nil, failureOf(result)
	}
	return publisher, nil
}
