package config

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/check"
)

// Settings configure a daemon that the serve command runs.
type Settings struct {
	Name     string   `yaml:"name"`
	Zone     string   `yaml:"zone"`
	Zones    []string `yaml:"zones"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Stop     Stop     `yaml:"stop"`
	Logs     Logs     `yaml:"logs"`
}

// Listen are the addresses that a daemon listens on. Advertised is the address at
// which other daemons reach the Daemons port, if that is a different one.
type Listen struct {
	Callers    netip.AddrPort `yaml:"callers"`
	Daemons    netip.AddrPort `yaml:"daemons"`
	Operators  netip.AddrPort `yaml:"operators"`
	Advertised netip.AddrPort `yaml:"advertised"`
}

// Platform gives the addresses of the platform's services. LogRetention is how
// long the log keeps a record.
type Platform struct {
	Log          netip.AddrPort `yaml:"log"`
	VMs          netip.AddrPort `yaml:"vms"`
	Timeout      time.Duration  `yaml:"timeout"`
	LogRetention time.Duration  `yaml:"log_retention"`
	VMsInterval  time.Duration  `yaml:"vms_interval"`
}

// Stop holds the time limits of a planned stop. BalancerLag is how long the load
// balancer may still open new connections after the daemon has stopped being
// ready. Limit is how long requests in flight may take.
type Stop struct {
	BalancerLag time.Duration `yaml:"balancer_lag"`
	Limit       time.Duration `yaml:"limit"`
}

// Logs are the settings of the log.
type Logs struct {
	Format string `yaml:"format"`
	Level  string `yaml:"level"`
}

// Default values of settings.
const (
	defaultTimeout      = 2 * time.Second
	defaultLogRetention = 24 * time.Hour
	defaultVMsInterval  = 2 * time.Second
	defaultBalancerLag  = 3 * time.Second
	defaultStopLimit    = 10 * time.Minute
)

// Defaults returns the settings that apply where a file sets none.
func Defaults() Settings {
	return Settings{
		Platform: Platform{
			Timeout:      defaultTimeout,
			LogRetention: defaultLogRetention,
			VMsInterval:  defaultVMsInterval,
		},
		Stop: Stop{BalancerLag: defaultBalancerLag, Limit: defaultStopLimit},
		Logs: Logs{Format: "text", Level: "info"},
	}
}

// Load reads settings from a file and applies overrides from the environment. All
// findings are returned together as a check.Findings error.
func Load(path string, environment func(name string) (string, bool)) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data, environment)
}

// Parse reads settings from YAML and applies overrides from the environment. The
// findings name the file.
func Parse(file string, data []byte, environment func(name string) (string, bool)) (Settings, error) {
	document, findings := check.DecodeWithDefaults(file, data, Defaults())
	if !document.Readable() {
		return Settings{}, findings.Err()
	}
	settings := document.Value
	findings = append(findings, applyEnvironment(&settings, environment)...)
	findings = append(findings, checkSettings(document, settings)...)
	return settings, findings.Err()
}

func checkSettings(document *check.Document[Settings], settings Settings) check.Findings {
	var findings check.Findings
	if settings.Name == "" {
		findings.Add(document.Position("name"), "name is missing")
	}
	if settings.Zone == "" {
		findings.Add(document.Position("zone"), "zone is missing")
	}
	if !slices.Contains(settings.Zones, settings.Zone) {
		findings.Add(document.Position("zone"), "zone %q is not in zones", settings.Zone)
	}
	checkFormat(&findings, document.Position("logs", "format"), settings.Logs.Format)
	checkAddresses(&findings, document, settings)
	checkDurations(&findings, document, settings)
	return findings
}

func checkFormat(findings *check.Findings, position check.Position, format string) {
	if format != "text" && format != "json" {
		findings.Add(position, "format %q is neither text nor json", format)
	}
}

func checkAddresses(findings *check.Findings, document *check.Document[Settings], settings Settings) {
	seen := make(map[netip.AddrPort]string)
	for _, setting := range []struct {
		section string
		key     string
		address netip.AddrPort
	}{
		{section: "listen", key: "callers", address: settings.Listen.Callers},
		{section: "listen", key: "daemons", address: settings.Listen.Daemons},
		{section: "listen", key: "operators", address: settings.Listen.Operators},
		{section: "platform", key: "log", address: settings.Platform.Log},
		{section: "platform", key: "vms", address: settings.Platform.VMs},
	} {
		position := document.Position(setting.section, setting.key)
		name := setting.section + "." + setting.key
		if !setting.address.IsValid() {
			findings.Add(position, "%s has no address with port", name)
			continue
		}
		if other, taken := seen[setting.address]; taken && setting.address.Port() != 0 {
			findings.Add(position, "%s and %s are both %s", other, name, setting.address)
		}
		seen[setting.address] = name
	}
}

func checkDurations(findings *check.Findings, document *check.Document[Settings], settings Settings) {
	for _, setting := range []struct {
		section string
		key     string
		value   time.Duration
	}{
		{section: "platform", key: "timeout", value: settings.Platform.Timeout},
		{section: "platform", key: "log_retention", value: settings.Platform.LogRetention},
		{section: "platform", key: "vms_interval", value: settings.Platform.VMsInterval},
		{section: "stop", key: "limit", value: settings.Stop.Limit},
	} {
		if setting.value <= 0 {
			findings.Add(document.Position(setting.section, setting.key), "%s.%s %s is not above 0", setting.section, setting.key, setting.value)
		}
	}
	if settings.Stop.BalancerLag < 0 {
		findings.Add(document.Position("stop", "balancer_lag"), "stop.balancer_lag is negative")
	}
}
