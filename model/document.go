package model

import (
	"bytes"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"dandeliondoor/check"
)

// The prefixes of document names, which select the type of the body.
const (
	servicePrefix  = "service/"
	accountsPrefix = "accounts/"
)

// Document is the unit of publication: a name and a YAML body.
type Document struct {
	Name string
	Body string
}

// Documents returns the documents of a deployment, sorted by name.
func Documents(deployment Deployment) ([]Document, error) {
	var documents []Document
	for _, service := range deployment.Services {
		body, err := Marshal(service)
		if err != nil {
			return nil, err
		}
		documents = append(documents, Document{Name: servicePrefix + service.Name, Body: body})
	}
	for _, shard := range deployment.AccountShards {
		body, err := Marshal(shard)
		if err != nil {
			return nil, err
		}
		documents = append(documents, Document{Name: accountsPrefix + shard.Name, Body: body})
	}
	slices.SortFunc(documents, func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
	return documents, nil
}

// Marshal encodes a value as deterministic YAML, indented by two spaces.
func Marshal(value any) (string, error) {
	var buffer bytes.Buffer
	encoder := yaml.NewEncoder(&buffer)
	encoder.SetIndent(2)
	if err := encoder.Encode(value); err != nil {
		return "", err
	}
	return buffer.String(), nil
}

// ParseDocument decodes and checks a document and returns its findings. It adds
// the content to the deployment only if there are none.
func ParseDocument(deployment *Deployment, document Document) check.Findings {
	switch {
	case strings.HasPrefix(document.Name, servicePrefix):
		decoded, findings := check.Decode[Service](document.Name, []byte(document.Body))
		findings = append(findings, CheckService(document.Name, decoded.Value)...)
		if len(findings) == 0 {
			deployment.Services = append(deployment.Services, decoded.Value)
		}
		return findings
	case strings.HasPrefix(document.Name, accountsPrefix):
		decoded, findings := check.Decode[AccountShard](document.Name, []byte(document.Body))
		findings = append(findings, CheckAccounts(document.Name, decoded.Value)...)
		if len(findings) == 0 {
			deployment.AccountShards = append(deployment.AccountShards, decoded.Value)
		}
		return findings
	default:
		var findings check.Findings
		findings.Add(check.Position{File: document.Name}, "unknown document type")
		return findings
	}
}
