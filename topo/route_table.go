package topo

import (
	"strings"
)

// RouteTable looks up the route and the client account of a request in one version of
// the configuration.
type RouteTable struct {
	Config   *Config
	Accounts *AccountTable
	// HasDownloads is set if any route is a Download route, so that responses may be large
	// and their callers slow.
	HasDownloads bool

	routes map[routeKey]*Route
}

type routeKey struct {
	host   string
	prefix string
}

// NewRouteTable builds a lookup table from a configuration.
func NewRouteTable(config *Config) *RouteTable {
	t := &RouteTable{
		Config: config, Accounts: NewAccountTable(config.Accounts), routes: make(map[routeKey]*Route, len(config.Routes)),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		t.routes[routeKey{host: normalizeHost(route.Host), prefix: route.Prefix}] = route
		t.HasDownloads = t.HasDownloads || route.Download
	}
	return t
}

// Find returns the host's route with the longest matching path prefix, or nil if
// there is none.
func (t *RouteTable) Find(host, path string) *Route {
	host = normalizeHost(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, found := t.routes[routeKey{host: host, prefix: path[:end+1]}]; found {
			return route
		}
	}
	return nil
}

// normalizeHost removes the port and converts the host to lower case.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
