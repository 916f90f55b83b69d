package route

import (
	"net"
	"strings"

	"dandeliondoor/model"
)

// Target is the service and the route that a request matches.
type Target struct {
	Service *Service
	Route   model.Route
}

// Service is a declared service with its pools.
type Service struct {
	model.Service
	Pools []model.Pool
}

// Table is an immutable routing table, built from the configuration in force.
type Table struct {
	services map[string]*Service
	routes   map[string]Target
	accounts map[string]model.Account
	pools    map[string]PoolOwner
}

// PoolOwner is a pool and the service that it belongs to.
type PoolOwner struct {
	Service *Service
	Pool    model.Pool
}

// New returns the routing table of a deployment.
func New(deployment model.Deployment) *Table {
	table := &Table{
		services: make(map[string]*Service, len(deployment.Services)),
		routes:   make(map[string]Target),
		accounts: make(map[string]model.Account),
		pools:    make(map[string]PoolOwner),
	}
	for _, declared := range deployment.Services {
		table.addService(declared)
	}
	for _, shard := range deployment.AccountShards {
		for _, account := range shard.Accounts {
			table.accounts[account.Name] = account
		}
	}
	return table
}

func (t *Table) addService(declared model.Service) {
	service := &Service{Service: declared, Pools: model.Pools(declared)}
	t.services[declared.Name] = service
	for _, declaredRoute := range declared.Routes {
		t.routes[declaredRoute.Host+declaredRoute.PathPrefix] = Target{Service: service, Route: declaredRoute}
	}
	for _, pool := range service.Pools {
		t.pools[pool.Key] = PoolOwner{Service: service, Pool: pool}
	}
}

// Find returns the target whose route has the longest path prefix that matches
// path. Prefixes match whole path elements only. The host may contain a port, which
// is ignored.
func (t *Table) Find(host, path string) (Target, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for prefix := path; ; {
		if target, found := t.routes[host+prefix]; found {
			return target, true
		}
		slash := strings.LastIndexByte(prefix, '/')
		if slash < 0 || prefix == "/" {
			return Target{}, false
		}
		prefix = prefix[:max(slash, 1)]
	}
}

// Account returns the declared account with the given name.
func (t *Table) Account(name string) (model.Account, bool) {
	account, found := t.accounts[name]
	return account, found
}

// AccountCount returns the number of accounts.
func (t *Table) AccountCount() int { return len(t.accounts) }

// Pool returns the pool with the given key and its service.
func (t *Table) Pool(key string) (PoolOwner, bool) {
	owner, found := t.pools[key]
	return owner, found
}

// Services returns all services by name. The caller must not modify the map.
func (t *Table) Services() map[string]*Service { return t.services }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }
