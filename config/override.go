package config

import (
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"

	"dandeliondoor/check"
)

// environmentPrefix is the prefix of environment variables that override settings.
const environmentPrefix = "DANDELIONDOOR_"

// applyEnvironment overrides settings with environment variables. The variable for
// listen.callers is DANDELIONDOOR_LISTEN_CALLERS; values are parsed as YAML.
func applyEnvironment(settings *Settings, environment func(name string) (string, bool)) check.Findings {
	var findings check.Findings
	applyToStruct(&findings, reflect.ValueOf(settings).Elem(), environmentPrefix, environment)
	return findings
}

func applyToStruct(
	findings *check.Findings, target reflect.Value, prefix string, environment func(name string) (string, bool),
) {
	for i := range target.NumField() {
		field := target.Field(i)
		name := prefix + strings.ToUpper(target.Type().Field(i).Tag.Get("yaml"))
		if field.Kind() == reflect.Struct && field.Type().PkgPath() == reflect.TypeFor[Settings]().PkgPath() {
			applyToStruct(findings, field, name+"_", environment)
			continue
		}
		text, set := environment(name)
		if !set {
			continue
		}
		if err := yaml.Unmarshal([]byte(text), field.Addr().Interface()); err != nil {
			findings.Add(check.Position{File: "environment " + name}, "cannot read %q", text)
		}
	}
}
