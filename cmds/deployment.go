package cmds

import (
	"os"

	"github.com/go-faster/errors"

	"dandeliondoor/check"
	"dandeliondoor/model"
)

// loadDeployment reads and checks a deployment. It returns all findings as one
// error.
func loadDeployment(path string) (model.Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return model.Deployment{}, errors.Wrap(err, "read deployment")
	}
	document, findings := check.Decode[model.Deployment](path, data)
	if len(findings) == 0 {
		findings = model.CheckDeployment(path, document.Value)
	}
	return document.Value, findings.Err()
}
