package cmds

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/infra"
	"dandeliondoor/model"
	"dandeliondoor/pubs"
)

const checkHelp = `Check a deployment and print all findings with their positions in the file.

With --log, also print the difference from the configuration in force.

Examples:
  dandeliondoor check fes.yaml
  dandeliondoor check --log 10.0.0.5:9001 fes.yaml`

// logTimeout limits each call of a command to the log service.
const logTimeout = 5 * time.Second

type checkCommand struct {
	program *program
	Log     string `long:"log" description:"address of the log service" value-name:"IP:PORT"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

var _ commander = &checkCommand{}

// Execute implements flags.Commander.
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

// loadPublisher returns a publisher that has read the log of the log service at
// hostPort.
func loadPublisher(ctx context.Context, hostPort string) (*pubs.Publisher, error) {
	address, err := netip.ParseAddrPort(hostPort)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: errors.Errorf("--log: %q is not IP and port", hostPort)}
	}
	publisher := pubs.NewPublisher(infra.NewLogClient(address, logTimeout))
	if result := publisher.Load(ctx); result != nil {
		return nil, resultError(result)
	}
	return publisher, nil
}
