package config_test

import (
	"strings"
	"testing"
	"time"

	"dandeliondoor/config"
)

const validSettings = `name: fes-1
zone: fes-medina
zones: [fes-medina, fes-jdid]
listen:
  callers: 10.0.0.1:8080
  daemons: 10.0.0.1:8081
  operators: 10.0.0.1:8082
platform:
  log: 10.0.9.1:9001
  vms: 10.0.9.1:9002
`

func noEnvironment(string) (string, bool) { return "", false }

func TestParse(t *testing.T) {
	t.Parallel()
	environment := map[string]string{
		"DANDELIONDOOR_LOGS_LEVEL":        "debug",
		"DANDELIONDOOR_STOP_BALANCER_LAG": "9s",
		"DANDELIONDOOR_ZONES":             "[fes-medina, sidi-brahim]",
	}
	settings, err := config.Parse("daemon.yaml", []byte(validSettings), func(name string) (string, bool) {
		value, set := environment[name]
		return value, set
	})
	if err != nil {
		t.Fatal(err)
	}
	if settings.Logs.Level != "debug" || settings.Stop.BalancerLag != 9*time.Second || settings.Zones[1] != "sidi-brahim" {
		t.Errorf("overrides were not applied: %+v", settings)
	}
	if settings.Platform.Timeout != 2*time.Second || settings.Listen.Callers.Port() != 8080 {
		t.Errorf("defaults or values of the file were not applied: %+v", settings)
	}
}

func TestParseFindings(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		old  string
		new  string
		want []string
	}{
		{name: "address without port", old: "callers: 10.0.0.1:8080", new: "callers: 10.0.0.1", want: []string{
			`daemon.yaml:5:12: cannot read "10.0.0.1" as an address with port`,
			`daemon.yaml:5:12: listen.callers has no address with port`,
		}},
		{name: "zero duration", old: "  vms: 10.0.9.1:9002\n", new: "  vms: 10.0.9.1:9002\n  timeout: 0s\n", want: []string{
			"daemon.yaml:11:12: platform.timeout 0s is not above 0",
		}},
		{name: "duplicate key", old: "zone: fes-medina\n", new: "zone: fes-medina\nzone: fes-jdid\n", want: []string{
			"daemon.yaml:3:1: key zone stands twice",
		}},
		{name: "log format", old: "name: fes-1\n", new: "name: fes-1\nlogs: {format: xml}\n", want: []string{
			`daemon.yaml:2:16: format "xml" is neither text nor json`,
		}},
		{name: "missing name", old: "name: fes-1\n", new: "", want: []string{"daemon.yaml:1:1: name is missing"}},
		{name: "invalid YAML", old: "name: fes-1\n", new: "name: [fes-1\n", want: []string{"daemon.yaml: line 1: did not find expected"}},
		{name: "duplicate address", old: "daemons: 10.0.0.1:8081", new: "daemons: 10.0.0.1:8080", want: []string{
			"daemon.yaml:6:12: listen.callers and listen.daemons are both 10.0.0.1:8080",
		}},
		{name: "several findings", old: "zone: fes-medina\n", new: "zone: bilbao\nzome: oviedo\nstop: {limit: soon}\n", want: []string{
			"daemon.yaml:3:1: unknown key zome",
			`daemon.yaml:4:15: cannot read "soon" as a duration such as 300ms`,
			`daemon.yaml:2:7: zone "bilbao" is not in zones`,
		}},
		{name: "wrong type", old: "zones: [fes-medina, fes-jdid]", new: "zones: fes-medina", want: []string{
			"daemon.yaml:3:8: expected a list",
			`daemon.yaml:2:7: zone "fes-medina" is not in zones`,
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			text := strings.Replace(validSettings, test.old, test.new, 1)
			_, err := config.Parse("daemon.yaml", []byte(text), noEnvironment)
			if err == nil {
				t.Fatal("Parse returned no findings")
			}
			lines := strings.Split(err.Error(), "\n")
			for i, want := range test.want {
				if i >= len(lines) || !strings.HasPrefix(lines[i], want) {
					t.Errorf("got\n%s\nwant line %d to be %s", err, i+1, want)
				}
			}
			if len(lines) != len(test.want) {
				t.Errorf("got %d findings, want %d:\n%s", len(lines), len(test.want), err)
			}
		})
	}
}

func TestParseInvalidOverride(t *testing.T) {
	t.Parallel()
	_, err := config.Parse("daemon.yaml", []byte(validSettings), func(name string) (string, bool) {
		return "soon", name == "DANDELIONDOOR_STOP_LIMIT"
	})
	if err == nil || err.Error() != `environment DANDELIONDOOR_STOP_LIMIT: cannot read "soon"` {
		t.Fatal(err)
	}
}
