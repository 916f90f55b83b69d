package cmds

import (
	"context"
	"fmt"
	"os/user"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"dandeliondoor/fold"
	"dandeliondoor/model"
	"dandeliondoor/pubs"
)

const publishHelp = `Publish a deployment. Either all of its changes come into force or none.

The command prints "accepted" only after it has read its own record back from
the log and found no conflict with an earlier publication. It is always safe to
run it again.

Exit codes: 0 accepted or nothing to change, 2 invalid arguments, 3 invalid
deployment, 4 conflict with an earlier publication, 5 the log cannot be reached
and nothing was written, 6 the log's answer was lost and the record has not been
seen yet.

Examples:
  dandeliondoor publish --log 10.0.0.5:9001 fes.yaml
  dandeliondoor publish --log 10.0.0.5:9001 --dry-run fes.yaml
  dandeliondoor publish --log 10.0.0.5:9001 --base service/agenda=4 agenda.yaml
  dandeliondoor publish --log 10.0.0.5:9001 --first fes.yaml`

type publishCommand struct {
	program *program
	Bases   map[string]uint64 `long:"base" key-value-delimiter:"=" description:"revision that a change is based on" value-name:"NAME=REVISION"`
	DryRun  bool              `long:"dry-run" description:"show the difference and publish nothing"`
	First   bool              `long:"first" description:"publish to a log that holds no document yet"`
	Log     string            `long:"log" required:"yes" description:"address of the log service" value-name:"IP:PORT"`
	Prune   bool              `long:"prune" description:"delete documents that the file does not declare"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

var _ commander = &publishCommand{}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	ctx := context.Background()
	deployment, err := loadDeployment(c.Args.File)
	if err != nil {
		return err
	}
	documents, err := model.Documents(deployment)
	if err != nil {
		return err
	}
	publisher, err := loadPublisher(ctx, c.Log)
	if err != nil {
		return err
	}
	if publisher.State().Len() == 0 && !c.First {
		return resultError(pubs.EmptyLog{})
	}
	changes := pubs.Plan(publisher.State(), documents, c.Prune)
	if err := c.applyBases(changes); err != nil {
		return err
	}
	if c.DryRun {
		fmt.Fprint(c.program.stdout, pubs.Diff(publisher.State(), changes))
		return nil
	}
	if len(changes) == 0 {
		fmt.Fprintln(c.program.stdout, "unchanged: all of it is in force already")
		return nil
	}
	return c.report(publisher.Publish(ctx, fold.Publication{
		ID:        uuid.NewString(),
		Operator:  operatorName(),
		Documents: changes,
	}))
}

// applyBases replaces the base revisions of changes with those given by --base.
func (c *publishCommand) applyBases(changes []fold.Change) error {
	for name, base := range c.Bases {
		found := false
		for i := range changes {
			if changes[i].Name == name {
				changes[i].Base = base
				found = true
			}
		}
		if !found {
			return &ExitError{Code: ExitUsage, Err: errors.Errorf("--base: the publication does not change %s", name)}
		}
	}
	return nil
}

func (c *publishCommand) report(result pubs.Result) error {
	accepted, isAccepted := result.(pubs.Accepted)
	if !isAccepted {
		return resultError(result)
	}
	if accepted.AnswerLost {
		fmt.Fprintln(c.program.stdout, "the log's answer was lost; the record was found")
	}
	fmt.Fprintln(c.program.stdout, "accepted")
	for _, document := range accepted.Documents {
		fmt.Fprintf(c.program.stdout, "  %s revision %d\n", document.Name, document.Revision)
	}
	return nil
}

func operatorName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// resultError returns the error for a result, with its exit code. It returns nil for
// a result that is not a failure.
func resultError(result pubs.Result) error {
	switch result := result.(type) {
	case pubs.Rejected:
		return &ExitError{Code: ExitConflict, Err: errors.New(rejectionText(result))}
	case pubs.Invalid:
		return &ExitError{Code: ExitInvalid, Err: errors.Wrap(result.Err, "the deployment cannot be stored and nothing was written")}
	case pubs.Unreachable:
		return &ExitError{Code: ExitUnreachable, Err: errors.Wrap(result.Err, "the log cannot be reached and nothing was written")}
	case pubs.Unconfirmed:
		return &ExitError{Code: ExitUnconfirmed, Err: errors.Wrapf(result.Err,
			"publication %s: the answer was lost and the record is not seen yet; run publish again", result.ID)}
	case pubs.NoCheckpoint:
		return &ExitError{Code: ExitUnreachable, Err: errors.Errorf(
			"the log starts at offset %d and contains no complete checkpoint yet; wait until the daemons have written one", result.Earliest,
		)}
	case pubs.EmptyLog:
		return &ExitError{Code: ExitInvalid, Err: errors.New(
			"the log holds no document; --first is for the first publication of all",
		)}
	default:
		return nil
	}
}

func rejectionText(rejected pubs.Rejected) string {
	var text strings.Builder
	text.WriteString("lost the race: nothing of this publication is in force")
	for _, conflict := range rejected.Conflicts {
		fmt.Fprintf(&text, "\n  %s: based on revision %d, but %d is in force", conflict.Name, conflict.Base, conflict.Current)
		if conflict.CurrentPublicationID != "" {
			text.WriteString(" by publication " + conflict.CurrentPublicationID)
		}
	}
	text.WriteString("\nlook at the difference with publish --dry-run, take the other change over, and publish again")
	return text.String()
}
