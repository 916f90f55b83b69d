package spread

import (
	"slices"
	"strings"

	"dandeliondoor/check"
	"dandeliondoor/fold"
	"dandeliondoor/model"
	"dandeliondoor/route"
)

// deployments holds the parsed documents and builds the route table from them. An
// invalid document leaves the last valid version of the same name active.
type deployments struct {
	byName map[string]model.Deployment
}

func newDeployments() *deployments {
	return &deployments{byName: make(map[string]model.Deployment)}
}

// apply parses changed documents and returns the problems found in them.
func (d *deployments) apply(documents []fold.Document) check.Findings {
	var findings check.Findings
	for _, document := range documents {
		if document.Deleted {
			delete(d.byName, document.Name)
			continue
		}
		var part model.Deployment
		found := model.ParseDocument(&part, model.Document{Name: document.Name, Body: document.Body})
		if len(found) > 0 {
			findings = append(findings, found...)
			continue
		}
		d.byName[document.Name] = part
	}
	return findings
}

// table returns the route table of all documents, in the order of their names.
func (d *deployments) table() *route.Table {
	names := make([]string, 0, len(d.byName))
	for name := range d.byName {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	var deployment model.Deployment
	for _, name := range names {
		part := d.byName[name]
		deployment.Services = append(deployment.Services, part.Services...)
		deployment.AccountShards = append(deployment.AccountShards, part.AccountShards...)
	}
	return route.New(deployment)
}
