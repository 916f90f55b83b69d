package spread

import (
	"slices"
	"strings"

	"dandeliondoor/check"
	"dandeliondoor/fold"
	"dandeliondoor/model"
	"dandeliondoor/route"
)

// view turns documents into the table of routes. A document that cannot be
// used leaves the last usable one of its name in force.
type view struct {
	parts map[string]model.Deployment
}

func newView() *view {
	return &view{parts: make(map[string]model.Deployment)}
}

// apply takes changed documents and returns what is wrong with them.
func (v *view) apply(documents []fold.Document) check.Findings {
	var findings check.Findings
	for _, document := range documents {
		if document.Deleted {
			delete(v.parts, document.Name)
			continue
		}
		var part model.Deployment
		found := model.ParseDocument(&part, model.Document{Name: document.Name, Body: document.Body})
		if len(found) > 0 {
			findings = append(findings, found...)
			continue
		}
		v.parts[document.Name] = part
	}
	return findings
}

// table returns the routes of all documents, taken in the order of their
// names.
func (v *view) table() *route.Table {
	names := make([]string, 0, len(v.parts))
	for name := range v.parts {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	var deployment model.Deployment
	for _, name := range names {
		part := v.parts[name]
		deployment.Services = append(deployment.Services, part.Services...)
		deployment.AccountShards = append(deployment.AccountShards, part.AccountShards...)
	}
	return route.New(deployment)
}
