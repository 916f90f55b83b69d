package audit

import (
	"fmt"
	"strings"

	"dandeliondoor/topo"
)

// Kind is the kind of a problem in a valid configuration.
type Kind string

// The kinds of problems.
const (
	// KindUnreachable is an entry that no request can match or use.
	KindUnreachable Kind = "can_never_match"
	// KindContradiction is a limit that contradicts another one.
	KindContradiction Kind = "contradicts"
)

// Problem is an entry of a valid configuration that does not do what it seems to.
type Problem struct {
	Kind  Kind
	Place string
	Text  string
}

// String returns the problem in one line.
func (p Problem) String() string { return p.Place + ": " + string(p.Kind) + ": " + p.Text }

// Inspect returns the problems of a configuration that decodes without errors, in the order
// of its entries. Services are all that it declares.
func Inspect(config *topo.Config, services []string) []Problem {
	i := inspector{config: config, used: make(map[string]bool), seen: make(map[string]string)}
	for _, route := range config.Routes {
		i.inspectRoute(route)
	}
	for _, service := range services {
		if !i.used[service] {
			i.add(KindUnreachable, "service "+service, "no route leads to it")
		}
	}
	for _, account := range config.Accounts {
		i.inspectAccount(account)
	}
	i.inspectLimits()
	return i.problems
}

// inspector collects the problems of one configuration. Used has the services to which
// a route leads, and seen the route of each host and prefix.
type inspector struct {
	config   *topo.Config
	used     map[string]bool
	seen     map[string]string
	problems []Problem
}

func (i *inspector) add(kind Kind, place, format string, arguments ...any) {
	i.problems = append(i.problems, Problem{Kind: kind, Place: place, Text: fmt.Sprintf(format, arguments...)})
}

func (i *inspector) inspectRoute(route topo.Route) {
	place := "route " + route.Name
	key := strings.ToLower(route.Host) + route.Prefix
	if other, taken := i.seen[key]; taken {
		i.add(KindUnreachable, "route "+other, "route %s has the same host and prefix and replaces it", route.Name)
	}
	i.seen[key] = route.Name
	if route.Host == "" {
		i.add(KindUnreachable, place, "no host")
	}
	if strings.ContainsAny(route.Prefix, "?# ") {
		i.add(KindUnreachable, place, "prefix %q has characters that no path has", route.Prefix)
	}
	for _, target := range route.Targets {
		if target.Weight == 0 && len(route.Targets) > 1 {
			i.add(KindUnreachable, place, "service %s has weight 0", target.Service)
			continue
		}
		i.used[target.Service] = true
	}
	if route.Objective > route.Timeout {
		i.add(KindContradiction, place, "objective %s exceeds timeout %s", route.Objective, route.Timeout)
	}
	if !route.Idempotent && route.Download {
		i.add(KindContradiction, place, "a download that is not idempotent")
	}
	if route.Public && len(i.config.Accounts) == 0 {
		i.add(KindContradiction, place, "public has no effect without accounts")
	}
}

func (i *inspector) inspectAccount(account topo.Account) {
	place := "account " + account.Name
	if len(account.Keys) == 0 {
		i.add(KindUnreachable, place, "no API keys")
	}
	if !account.Limited() && account.Burst > 0 {
		i.add(KindContradiction, place, "burst %g has no effect without a rate", account.Burst)
	}
}

func (i *inspector) inspectLimits() {
	const place = "limits"
	limits := i.config.Limits
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		i.add(KindContradiction, place, "header timeout %s exceeds idle timeout %s", limits.HeaderTimeout, limits.IdleTimeout)
	}
	if limits.HeaderBytes > 0 && limits.HeaderBytes < minHeaderBytes {
		i.add(KindContradiction, place, "header limit of %d bytes rejects every request", limits.HeaderBytes)
	}
}

// minHeaderBytes is the size of the shortest request head with a host and a request ID.
const minHeaderBytes = 64
