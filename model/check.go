package model

import (
	"strings"
	"time"

	"dandeliondoor/check"
)

// The limits of declared values.
const (
	maxDeadline    = 10 * time.Minute
	maxSlots       = 10_000
	maxNameLength  = 100
	maxPercent     = 100
	minConnections = 1
)

// CheckDeployment returns all findings about a deployment. Findings name file as
// their source.
func CheckDeployment(file string, deployment Deployment) check.Findings {
	var findings check.Findings
	position := check.Position{File: file}
	names := newUniqueNames(&findings, position)
	routes := newUniqueNames(&findings, position)
	addresses := newUniqueNames(&findings, position)
	for _, service := range deployment.Services {
		names.add("service", service.Name)
		findings = append(findings, CheckService(file, service)...)
		for _, route := range service.Routes {
			routes.add("host and path prefix", route.Host+route.PathPrefix)
		}
		for _, upstream := range service.Upstreams {
			addresses.add("upstream address", upstream.Address.String())
		}
	}
	accounts := newUniqueNames(&findings, position)
	for _, shard := range deployment.AccountShards {
		names.add("account shard", shard.Name)
		findings = append(findings, CheckAccounts(file, shard)...)
		for _, account := range shard.Accounts {
			accounts.add("account", account.Name)
		}
	}
	return findings
}

// CheckService returns all findings about one service.
func CheckService(file string, service Service) check.Findings {
	var findings check.Findings
	position := check.Position{File: file}
	prefix := "service " + service.Name + ": "
	checkName(&findings, position, "service", service.Name)
	checkPercent(&findings, position, prefix+"floor_percent", service.FloorPercent)
	checkPercent(&findings, position, prefix+"retry_budget_percent", service.RetryBudgetPercent)
	if len(service.Upstreams) == 0 {
		findings.Add(position, "%sno upstream is declared", prefix)
	}
	if len(service.Routes) == 0 {
		findings.Add(position, "%sno route is declared", prefix)
	}
	upstreams := newUniqueNames(&findings, position)
	for _, upstream := range service.Upstreams {
		upstreams.add(prefix+"upstream", upstream.Name)
		checkUpstream(&findings, position, prefix, upstream)
	}
	routes := newUniqueNames(&findings, position)
	for _, route := range service.Routes {
		routes.add(prefix+"route", route.Name)
		checkRoute(&findings, position, prefix, route)
	}
	return findings
}

// CheckAccounts returns all findings about a shard of client accounts.
func CheckAccounts(file string, shard AccountShard) check.Findings {
	var findings check.Findings
	position := check.Position{File: file}
	checkName(&findings, position, "account shard", shard.Name)
	for _, account := range shard.Accounts {
		checkName(&findings, position, "account", account.Name)
		if account.MaxInFlight < 0 {
			findings.Add(position, "account %s: max_in_flight %d is negative", account.Name, account.MaxInFlight)
		}
	}
	return findings
}

func checkUpstream(findings *check.Findings, position check.Position, prefix string, upstream Upstream) {
	prefix += "upstream " + upstream.Name + ": "
	checkName(findings, position, "upstream", upstream.Name)
	if !upstream.Address.IsValid() || upstream.Address.Port() == 0 {
		findings.Add(position, "%saddress %s has no port", prefix, upstream.Address)
	}
	if upstream.Zone == "" {
		findings.Add(position, "%szone is missing", prefix)
	}
	if upstream.Slots < 1 || upstream.Slots > maxSlots {
		findings.Add(position, "%sslots %d is not within 1 to %d", prefix, upstream.Slots, maxSlots)
	}
	if upstream.Connections < max(upstream.Slots, minConnections) {
		findings.Add(position, "%sconnections %d is less than the number of slots", prefix, upstream.Connections)
	}
}

func checkRoute(findings *check.Findings, position check.Position, prefix string, route Route) {
	prefix += "route " + route.Name + ": "
	checkName(findings, position, "route", route.Name)
	if route.Host == "" || strings.ContainsAny(route.Host, " /:") {
		findings.Add(position, "%shost %q is not a host name", prefix, route.Host)
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		findings.Add(position, "%spath_prefix %q does not start with /", prefix, route.PathPrefix)
	}
	if route.Deadline <= 0 || route.Deadline > maxDeadline {
		findings.Add(position, "%sdeadline %s is not greater than 0 and at most %s", prefix, route.Deadline, maxDeadline)
	}
}

func checkName(findings *check.Findings, position check.Position, kind, name string) {
	if name == "" {
		findings.Add(position, "%s has no name", kind)
	}
	if len(name) > maxNameLength || strings.ContainsAny(name, " /\t\n") {
		findings.Add(position, "%s name %q contains a space, tab, newline or slash, or is too long", kind, name)
	}
}

func checkPercent(findings *check.Findings, position check.Position, key string, percent int) {
	if percent < 0 || percent > maxPercent {
		findings.Add(position, "%s %d is not within 0 to %d", key, percent, maxPercent)
	}
}

// uniqueNames adds a finding for each name that is added more than once.
type uniqueNames struct {
	findings *check.Findings
	position check.Position
	seen     map[string]struct{}
}

func newUniqueNames(findings *check.Findings, position check.Position) *uniqueNames {
	return &uniqueNames{findings: findings, position: position, seen: make(map[string]struct{})}
}

func (u *uniqueNames) add(kind, name string) {
	if _, found := u.seen[name]; found {
		u.findings.Add(u.position, "%s %s is declared twice", kind, name)
	}
	u.seen[name] = struct{}{}
}
