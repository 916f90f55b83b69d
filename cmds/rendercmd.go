package cmds

import (
	"fmt"

	"github.com/go-faster/errors"

	"dandeliondoor/decl"
	"dandeliondoor/model"
	"dandeliondoor/sample"
)

const renderHelp = `Print a deployment in its canonical form, or an example.

Examples:
  dandeliondoor render fes.yaml
  dandeliondoor render --documents fes.yaml
  dandeliondoor render --example cantabria`

type renderCommand struct {
	program   *program
	Documents bool   `long:"documents" description:"print the documents as they are published"`
	Example   string `long:"example" choice:"cantabria" choice:"fes" description:"print the deployment of a firm"`
	Args      struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

var _ commander = &renderCommand{}

// Execute implements flags.Commander.
func (c *renderCommand) Execute([]string) error {
	deployment, err := c.load()
	if err != nil {
		return err
	}
	if c.Documents {
		return c.printDocuments(deployment)
	}
	text, err := model.Marshal(deployment)
	if err != nil {
		return err
	}
	fmt.Fprint(c.program.stdout, text)
	return nil
}

func (c *renderCommand) load() (model.Deployment, error) {
	var example *decl.Deployment
	switch c.Example {
	case "cantabria":
		example = sample.Cantabria(sample.CantabriaSizes, sample.PrivateAddresses)
	case "fes":
		example = sample.Fes(sample.FesSizes, sample.PrivateAddresses)
	default:
		if c.Args.File == "" {
			return model.Deployment{}, &ExitError{Code: ExitUsage, Err: errors.New("render needs a file or --example")}
		}
		return loadDeployment(c.Args.File)
	}
	return example.Build()
}

func (c *renderCommand) printDocuments(deployment model.Deployment) error {
	documents, err := model.Documents(deployment)
	if err != nil {
		return err
	}
	for _, document := range documents {
		fmt.Fprintf(c.program.stdout, "--- # %s\n%s", document.Name, document.Body)
	}
	return nil
}
