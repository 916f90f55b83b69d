package check

import (
	"bytes"

	"go.yaml.in/yaml/v3"
)

// Encode encodes a value as deterministic YAML, indented by two spaces.
func Encode(value any) (string, error) {
	var buffer bytes.Buffer
	encoder := yaml.NewEncoder(&buffer)
	encoder.SetIndent(2) //nolint:mnd // Two spaces.
	if err := encoder.Encode(value); err != nil {
		return "", err
	}
	return buffer.String(), nil
}
