package model

import (
	"net/netip"
	"time"
)

// Service is a declared service with its upstreams and routes.
type Service struct {
	Name               string     `yaml:"name"`
	FloorPercent       int        `yaml:"floor_percent"`
	RetryBudgetPercent int        `yaml:"retry_budget_percent"`
	Upstreams          []Upstream `yaml:"upstreams"`
	Routes             []Route    `yaml:"routes"`
}

// Upstream is one server of a service, with the limits that apply to it.
type Upstream struct {
	Name        string         `yaml:"name"`
	Address     netip.AddrPort `yaml:"address"`
	Zone        string         `yaml:"zone"`
	Slots       int            `yaml:"slots"`
	Connections int            `yaml:"connections"`
}

// Route maps a host and a path prefix to a service.
type Route struct {
	Name       string        `yaml:"name"`
	Host       string        `yaml:"host"`
	PathPrefix string        `yaml:"path_prefix"`
	Class      Class         `yaml:"class"`
	Repeatable bool          `yaml:"repeatable"`
	Deadline   time.Duration `yaml:"deadline"`
}

// Account is a client account. MaxInFlight limits its requests in flight per
// service; 0 means no limit.
type Account struct {
	Name        string `yaml:"name"`
	MaxInFlight int    `yaml:"max_in_flight"`
}

// AccountShard is a named subset of the client accounts, published as one
// document.
type AccountShard struct {
	Name     string    `yaml:"name"`
	Accounts []Account `yaml:"accounts"`
}

// Deployment holds all declarations of one operator.
type Deployment struct {
	Services      []Service      `yaml:"services"`
	AccountShards []AccountShard `yaml:"account_shards"`
}
