package config

import (
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"

	"dandeliondoor/check"
)

// environmentPrefix starts the name of each variable that overrides a setting.
const environmentPrefix = "DANDELIONDOOR_"

// override sets each setting whose variable is set: listen.callers is
// DANDELIONDOOR_LISTEN_CALLERS, and lists are written as in YAML.
func override(settings *Settings, environment func(name string) (string, bool)) check.Findings {
	var findings check.Findings
	overrideStruct(&findings, reflect.ValueOf(settings).Elem(), environmentPrefix, environment)
	return findings
}

func overrideStruct(
	findings *check.Findings, target reflect.Value, prefix string, environment func(name string) (string, bool),
) {
	for i := range target.NumField() {
		field := target.Field(i)
		name := prefix + strings.ToUpper(target.Type().Field(i).Tag.Get("yaml"))
		if field.Kind() == reflect.Struct && field.Type().PkgPath() == reflect.TypeFor[Settings]().PkgPath() {
			overrideStruct(findings, field, name+"_", environment)
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
