package config

import (
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/check"
	"dandeliondoor/credit"
)

// Front configures a daemon that the front command runs. The daemon takes its
// configuration and its servers from the platform's store. MemoryMB is the memory that
// the process may use. Seeds are the addresses
// of other daemons' Daemons ports; some may be out of date. Terms are the parts of the
// platform's contract that hold for the deployment, as the platform names them.
type Front struct {
	Name       string           `yaml:"name"`
	Zone       string           `yaml:"zone"`
	Cores      float64          `yaml:"cores"`
	LinkMbps   float64          `yaml:"link_mbps"`
	MemoryMB   int64            `yaml:"memory_mb"`
	FirstStart bool             `yaml:"first_start"`
	Seeds      []netip.AddrPort `yaml:"seeds"`
	Listen     FrontListen      `yaml:"listen"`
	Store      Store            `yaml:"store"`
	Retries    Retries          `yaml:"retries"`
	Accounts   Accounts         `yaml:"accounts"`
	Quota      Quota            `yaml:"quota"`
	Scheduling Scheduling       `yaml:"scheduling"`
	Terms      []string         `yaml:"terms"`
	Stop       FrontStop        `yaml:"stop"`
	Logs       FrontLogs        `yaml:"logs"`
}

// FrontListen are the addresses that the daemon listens on. Advertise is the
// address at which other daemons reach the Daemons port, if that is a different
// one.
type FrontListen struct {
	Callers   netip.AddrPort `yaml:"callers"`
	Readiness netip.AddrPort `yaml:"readiness"`
	Daemons   netip.AddrPort `yaml:"daemons"`
	Operators netip.AddrPort `yaml:"operators"`
	Advertise netip.AddrPort `yaml:"advertise"`
}

// PeerAddress returns the address at which other daemons reach this daemon.
func (l FrontListen) PeerAddress() netip.AddrPort {
	if l.Advertise.IsValid() {
		return l.Advertise
	}
	return l.Daemons
}

// Store gives the address of the platform's store and the timeout of calls to it.
// DrainDue is the time within which a server that leaves must no longer be used.
type Store struct {
	Address  netip.AddrPort `yaml:"address"`
	Timeout  time.Duration  `yaml:"timeout"`
	DrainDue time.Duration  `yaml:"drain_due"`
}

// Retries limit the retries of requests to a service, hedged requests included.
// Within each window, retries may reach Ratio times the number of requests, plus
// Slack.
type Retries struct {
	Ratio  float64       `yaml:"ratio"`
	Window time.Duration `yaml:"window"`
	Slack  float64       `yaml:"slack"`
}

// Accounts sets how API keys are handled while the configuration cannot be confirmed. With
// RevokeFailClosed, a daemon whose configuration is older than RevokeDue accepts no keys.
type Accounts struct {
	RevokeDue        time.Duration `yaml:"revoke_due"`
	RevokeFailClosed bool          `yaml:"revoke_fail_closed"`
}

// Quota is the tolerance of the quotas of client accounts: within each Window, the requests
// of an account may exceed its quota by a share of Overage, plus Slack.
type Quota struct {
	Window  time.Duration `yaml:"window"`
	Overage float64       `yaml:"overage"`
	Slack   float64       `yaml:"slack"`
}

// Scheduling sets how brokers assign servers. With Queue, asks wait at the broker in order
// of fairness and priority. Placement selects the server by its load or by the estimated
// cost of its requests.
type Scheduling struct {
	Queue     bool      `yaml:"queue"`
	Placement Placement `yaml:"placement"`
}

// Placement is how a broker selects servers.
type Placement string

// Values of Placement.
const (
	PlacementCost Placement = "cost"
	PlacementLoad Placement = "load"
)

// FrontStop holds the time limits of a planned stop. BalancerLag is how long the load
// balancer may still open new connections after the daemon has stopped being ready.
// Limit is the time from the signal to the exit of the process.
type FrontStop struct {
	BalancerLag time.Duration `yaml:"balancer_lag"`
	Limit       time.Duration `yaml:"limit"`
}

// FrontLogs are the settings of the log. LinesPerSecond limits its volume.
type FrontLogs struct {
	Format         string `yaml:"format"`
	Level          string `yaml:"level"`
	LinesPerSecond int    `yaml:"lines_per_second"`
}

// Default values of settings.
const (
	defaultFrontBalancerLag = 2500 * time.Millisecond
	defaultFrontStopLimit   = 6 * time.Second
	defaultDrainDue         = 2 * time.Second
	defaultRetryRatio       = 0.2
	defaultRetryWindow      = 10 * time.Second
	defaultRetrySlack       = 50
	defaultLinesPerSecond   = 200
	defaultStoreTimeout     = 700 * time.Millisecond
	defaultCores            = 1
	defaultLinkMbps         = 1000
	defaultMemoryMB         = 512
	defaultFrontLogLevel    = "info"
	defaultRevokeDue        = 5 * time.Second
	defaultQuotaWindow      = 5 * time.Second
	defaultQuotaOverage     = 0.1
	defaultQuotaSlack       = 20
)

// FrontDefaults returns the settings that apply where a file sets none.
func FrontDefaults() Front {
	return Front{
		Cores:    defaultCores,
		LinkMbps: defaultLinkMbps,
		MemoryMB: defaultMemoryMB,
		Store:    Store{Timeout: defaultStoreTimeout, DrainDue: defaultDrainDue},
		Retries:  Retries{Ratio: defaultRetryRatio, Window: defaultRetryWindow, Slack: defaultRetrySlack},
		Accounts: Accounts{RevokeDue: defaultRevokeDue},
		Quota:    Quota{Window: defaultQuotaWindow, Overage: defaultQuotaOverage, Slack: defaultQuotaSlack},

		Scheduling: Scheduling{Placement: PlacementLoad},

		Stop: FrontStop{BalancerLag: defaultFrontBalancerLag, Limit: defaultFrontStopLimit},
		Logs: FrontLogs{Format: "json", Level: defaultFrontLogLevel, LinesPerSecond: defaultLinesPerSecond},
	}
}

// LoadFront reads settings from a file. All findings are returned together as a
// check.Findings error.
func LoadFront(path string) (Front, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Front{}, errors.Wrap(err, "read settings")
	}
	return ParseFront(path, data)
}

// ParseFront reads settings from YAML. The findings name the file.
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
	if settings.MemoryMB <= 0 {
		findings.Add(document.Position("memory_mb"), "memory_mb %v is not above 0", settings.MemoryMB)
	}
	if settings.Logs.LinesPerSecond <= 0 {
		findings.Add(document.Position("logs", "lines_per_second"), "lines_per_second is not above 0")
	}
	if settings.Retries.Ratio < 0 || settings.Retries.Slack < 0 {
		findings.Add(document.Position("retries"), "ratio and slack must not be below 0")
	}
	checkQuota(&findings, document, settings.Quota)
	if placement := settings.Scheduling.Placement; placement != PlacementCost && placement != PlacementLoad {
		findings.Add(document.Position("scheduling", "placement"), "placement %q is neither cost nor load", placement)
	}
	checkFormat(&findings, document.Position("logs", "format"), settings.Logs.Format)
	checkFrontAddresses(&findings, document, settings)
	checkFrontDurations(&findings, document, settings)
	return findings
}

func checkFormat(findings *check.Findings, position check.Position, format string) {
	if format != "text" && format != "json" {
		findings.Add(position, "format %q is neither text nor json", format)
	}
}

// checkQuota checks that the parameters of package credit keep the tolerance.
func checkQuota(findings *check.Findings, document *check.Document[Front], quota Quota) {
	if quota.Window <= 0 {
		return // checkFrontDurations reports it.
	}
	overage, slack := credit.LeastTolerance(quota.Window)
	if !(quota.Overage >= overage) {
		findings.Add(document.Position("quota", "overage"),
			"overage %v cannot be kept in a window of %s, at least %.3f can", quota.Overage, quota.Window, overage)
	}
	if !(quota.Slack >= slack) {
		findings.Add(document.Position("quota", "slack"),
			"slack %v cannot be kept in a window of %s, at least %v can", quota.Slack, quota.Window, slack)
	}
}

func checkFrontAddresses(findings *check.Findings, document *check.Document[Front], settings Front) {
	for _, setting := range []struct {
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
		if !setting.address.IsValid() {
			findings.Add(document.Position(setting.section, setting.key), "%s.%s has no address with port", setting.section, setting.key)
		}
	}
}

func checkFrontDurations(findings *check.Findings, document *check.Document[Front], settings Front) {
	for _, setting := range []struct {
		section string
		key     string
		value   time.Duration
	}{
		{section: "accounts", key: "revoke_due", value: settings.Accounts.RevokeDue},
		{section: "quota", key: "window", value: settings.Quota.Window},
		{section: "retries", key: "window", value: settings.Retries.Window},
		{section: "stop", key: "balancer_lag", value: settings.Stop.BalancerLag},
		{section: "stop", key: "limit", value: settings.Stop.Limit},
		{section: "store", key: "drain_due", value: settings.Store.DrainDue},
		{section: "store", key: "timeout", value: settings.Store.Timeout},
	} {
		if setting.value <= 0 {
			findings.Add(document.Position(setting.section, setting.key), "%s.%s %s is not above 0", setting.section, setting.key, setting.value)
		}
	}
}
