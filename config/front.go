package config

import (
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/check"
)

// Front are the settings of a daemon that takes its configuration and its
// servers from the platform's store. Seeds are the daemons' ports of some other
// daemons, which may be out of date.
type Front struct {
	Name       string           `yaml:"name"`
	Zone       string           `yaml:"zone"`
	Cores      float64          `yaml:"cores"`
	LinkMbps   float64          `yaml:"link_mbps"`
	FirstStart bool             `yaml:"first_start"`
	Seeds      []netip.AddrPort `yaml:"seeds"`
	Listen     FrontListen      `yaml:"listen"`
	Store      Store            `yaml:"store"`
	Retries    Retries          `yaml:"retries"`
	Stop       FrontStop        `yaml:"stop"`
	Logs       FrontLogs        `yaml:"logs"`
}

// FrontListen are the addresses of the daemon's ports. Advertise is where other
// daemons reach the daemons' port, if that is not its own address.
type FrontListen struct {
	Callers   netip.AddrPort `yaml:"callers"`
	Readiness netip.AddrPort `yaml:"readiness"`
	Daemons   netip.AddrPort `yaml:"daemons"`
	Operators netip.AddrPort `yaml:"operators"`
	Advertise netip.AddrPort `yaml:"advertise"`
}

// PeerAddress returns the address at which other daemons reach this one.
func (l FrontListen) PeerAddress() netip.AddrPort {
	if l.Advertise.IsValid() {
		return l.Advertise
	}
	return l.Daemons
}

// Store says where the platform's store is, how long a call may take, and how
// soon a server that leaves has to be out of use.
type Store struct {
	Address  netip.AddrPort `yaml:"address"`
	Timeout  time.Duration  `yaml:"timeout"`
	DrainDue time.Duration  `yaml:"drain_due"`
}

// Retries bound second sends to a service: in each window the ratio of its
// requests, and the slack beyond that.
type Retries struct {
	Ratio  float64       `yaml:"ratio"`
	Window time.Duration `yaml:"window"`
	Slack  float64       `yaml:"slack"`
}

// FrontStop bounds a planned stop.
type FrontStop struct {
	BalancerLag time.Duration `yaml:"balancer_lag"`
	Limit       time.Duration `yaml:"limit"`
}

// FrontLogs say how the process logs; LinesPerSecond bounds the volume.
type FrontLogs struct {
	Format         string `yaml:"format"`
	Level          string `yaml:"level"`
	LinesPerSecond int    `yaml:"lines_per_second"`
}

// The values that stand where the settings give none.
const (
	defaultFrontLag      = 2500 * time.Millisecond
	defaultFrontLimit    = 6 * time.Second
	defaultDrainDue      = 2 * time.Second
	defaultRetryRatio    = 0.2
	defaultRetryWindow   = 10 * time.Second
	defaultRetrySlack    = 50
	defaultLinesASecond  = 200
	defaultStoreTimeout  = 700 * time.Millisecond
	defaultCores         = 1
	defaultLinkMbps      = 1000
	defaultFrontLogLevel = "info"
)

// FrontDefaults returns the settings that hold where a file gives none.
func FrontDefaults() Front {
	return Front{
		Cores:    defaultCores,
		LinkMbps: defaultLinkMbps,
		Store:    Store{Timeout: defaultStoreTimeout, DrainDue: defaultDrainDue},
		Retries:  Retries{Ratio: defaultRetryRatio, Window: defaultRetryWindow, Slack: defaultRetrySlack},
		Stop:     FrontStop{BalancerLag: defaultFrontLag, Limit: defaultFrontLimit},
		Logs:     FrontLogs{Format: "json", Level: defaultFrontLogLevel, LinesPerSecond: defaultLinesASecond},
	}
}

// LoadFront reads a file and returns all findings as one check.Findings error.
func LoadFront(path string) (Front, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Front{}, errors.Wrap(err, "read settings")
	}
	return ParseFront(path, data)
}

// ParseFront reads settings from YAML; file stands in the findings.
func ParseFront(file string, data []byte) (Front, error) {
	document, findings := check.DecodeWithDefaults(file, data, FrontDefaults())
	if !document.Readable() {
		return Front{}, findings.Err()
	}
	settings := document.Value
	findings = append(findings, checkFront(document, settings)...)
	return settings, findings.Err()
}

func checkFront(document *check.Document[Front], settings Front) check.Findings {
	var findings check.Findings
	if settings.Name == "" {
		findings.Add(document.Position("name"), "name is missing")
	}
	if settings.Zone == "" {
		findings.Add(document.Position("zone"), "zone is missing")
	}
	if settings.Cores <= 0 {
		findings.Add(document.Position("cores"), "cores %v is not above 0", settings.Cores)
	}
	if settings.LinkMbps <= 0 {
		findings.Add(document.Position("link_mbps"), "link_mbps %v is not above 0", settings.LinkMbps)
	}
	if settings.Logs.LinesPerSecond <= 0 {
		findings.Add(document.Position("logs", "lines_per_second"), "lines_per_second is not above 0")
	}
	if settings.Retries.Ratio < 0 || settings.Retries.Slack < 0 {
		findings.Add(document.Position("retries"), "ratio and slack must not be below 0")
	}
	checkFormat(&findings, document.Position("logs", "format"), settings.Logs.Format)
	checkFrontAddresses(&findings, document, settings)
	checkFrontTimes(&findings, document, settings)
	return findings
}

func checkFrontAddresses(findings *check.Findings, document *check.Document[Front], settings Front) {
	for _, port := range []struct {
		section string
		key     string
		address netip.AddrPort
	}{
		{section: "listen", key: "callers", address: settings.Listen.Callers},
		{section: "listen", key: "daemons", address: settings.Listen.Daemons},
		{section: "listen", key: "operators", address: settings.Listen.Operators},
		{section: "listen", key: "readiness", address: settings.Listen.Readiness},
		{section: "store", key: "address", address: settings.Store.Address},
	} {
		if !port.address.IsValid() {
			findings.Add(document.Position(port.section, port.key), "%s.%s has no address with port", port.section, port.key)
		}
	}
}

func checkFrontTimes(findings *check.Findings, document *check.Document[Front], settings Front) {
	for _, period := range []struct {
		section string
		key     string
		value   time.Duration
	}{
		{section: "retries", key: "window", value: settings.Retries.Window},
		{section: "stop", key: "balancer_lag", value: settings.Stop.BalancerLag},
		{section: "stop", key: "limit", value: settings.Stop.Limit},
		{section: "store", key: "drain_due", value: settings.Store.DrainDue},
		{section: "store", key: "timeout", value: settings.Store.Timeout},
	} {
		if period.value <= 0 {
			findings.Add(document.Position(period.section, period.key), "%s.%s %s is not above 0", period.section, period.key, period.value)
		}
	}
}
