package audit

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dandeliondoor/topo"
)

// Action is what a new version does to an entry.
type Action string

// The actions.
const (
	ActionAdd    Action = "+"
	ActionChange Action = "~"
	ActionRemove Action = "-"
)

// Difference is an entry that differs between two versions of a configuration.
type Difference struct {
	Action Action
	Place  string
	Text   string
}

// String returns the difference in one line.
func (d Difference) String() string {
	return strings.TrimRight(string(d.Action)+" "+d.Place+" "+d.Text, " ")
}

// Compare returns the differences of a new configuration from the one in force, by place.
// API keys are counted, not shown.
func Compare(current, next *topo.Config) []Difference {
	differences := slices.Concat(
		compareEntries("route", routeFields(current), routeFields(next)),
		compareEntries("account", accountFields(current), accountFields(next)),
		compareEntries("limits", limitFields(current), limitFields(next)),
	)
	if next.Version <= current.Version {
		differences = append(differences, Difference{
			Action: ActionChange, Place: "version",
			Text: fmt.Sprintf("%08x does not exceed %08x, which stays in force", next.Version, current.Version),
		})
	}
	slices.SortStableFunc(differences, func(a, b Difference) int { return strings.Compare(a.Place, b.Place) })
	return differences
}

// field is a named value of an entry.
type field struct {
	name  string
	value string
}

// compareEntries compares the entries of one kind, by name.
func compareEntries(kind string, current, next map[string][]field) []Difference {
	var differences []Difference
	for name := range current {
		if _, kept := next[name]; !kept {
			differences = append(differences, Difference{Action: ActionRemove, Place: place(kind, name)})
		}
	}
	for name, fields := range next {
		known, found := current[name]
		switch {
		case !found:
			differences = append(differences, Difference{Action: ActionAdd, Place: place(kind, name), Text: describe(fields)})
		case !slices.Equal(known, fields):
			differences = append(differences, Difference{Action: ActionChange, Place: place(kind, name), Text: describeChange(known, fields)})
		}
	}
	return differences
}

func place(kind, name string) string { return strings.TrimRight(kind+" "+name, " ") }

func describe(fields []field) string {
	texts := make([]string, 0, len(fields))
	for _, f := range fields {
		texts = append(texts, f.name+" "+f.value)
	}
	return strings.Join(texts, ", ")
}

// describeChange lists the fields that differ; both lists have the same fields.
func describeChange(current, next []field) string {
	var texts []string
	for i, f := range next {
		if current[i] != f {
			texts = append(texts, f.name+" "+current[i].value+" -> "+f.value)
		}
	}
	return strings.Join(texts, ", ")
}

func routeFields(config *topo.Config) map[string][]field {
	entries := make(map[string][]field, len(config.Routes))
	for _, route := range config.Routes {
		entries[route.Name] = []field{
			{name: "host", value: route.Host},
			{name: "prefix", value: route.Prefix},
			{name: "idempotent", value: strconv.FormatBool(route.Idempotent)},
			{name: "download", value: strconv.FormatBool(route.Download)},
			{name: "public", value: strconv.FormatBool(route.Public)},
			{name: "timeout", value: route.Timeout.String()},
			{name: "objective", value: route.Objective.String()},
			{name: "attempts", value: strconv.Itoa(route.Attempts)},
			{name: "priority", value: strconv.Itoa(route.Priority)},
			{name: "targets", value: targetsOf(route)},
		}
	}
	return entries
}

func targetsOf(route topo.Route) string {
	texts := make([]string, 0, len(route.Targets))
	for _, target := range route.Targets {
		texts = append(texts, fmt.Sprintf("%s:%g", target.Service, target.Weight))
	}
	return strings.Join(texts, "/")
}

func accountFields(config *topo.Config) map[string][]field {
	entries := make(map[string][]field, len(config.Accounts))
	for _, account := range config.Accounts {
		priority := "of the route"
		if account.HasPriority {
			priority = strconv.Itoa(account.Priority)
		}
		entries[account.Name] = []field{
			{name: "keys", value: keysOf(account)},
			{name: "priority", value: priority},
			{name: "rate", value: fmt.Sprintf("%g/s", account.Rate)},
			{name: "burst", value: fmt.Sprintf("%g", account.Burst)},
		}
	}
	return entries
}

// keysOf returns the number of keys and the first bytes of their digests, which show that
// a key was replaced without disclosing it.
func keysOf(account topo.Account) string {
	const shown = 2
	texts := make([]string, 0, len(account.Keys))
	for _, key := range account.Keys {
		texts = append(texts, fmt.Sprintf("%x", key[:shown]))
	}
	slices.Sort(texts)
	return fmt.Sprintf("%d (%s)", len(account.Keys), strings.Join(texts, " "))
}

func limitFields(config *topo.Config) map[string][]field {
	limits := config.Limits
	return map[string][]field{"": {
		{name: "header bytes", value: strconv.Itoa(limits.HeaderBytes)},
		{name: "body bytes", value: strconv.FormatInt(limits.BodyBytes, 10)},
		{name: "header timeout", value: limits.HeaderTimeout.String()},
		{name: "idle timeout", value: limits.IdleTimeout.String()},
	}}
}
