package topo

import (
	"strings"
)

// RouteTable finds the route of a request in one version of the configuration.
type RouteTable struct {
	Config *Config
	routes map[routeKey]*Route
}

type routeKey struct {
	host   string
	prefix string
}

// NewRouteTable indexes a configuration.
func NewRouteTable(config *Config) *RouteTable {
	t := &RouteTable{Config: config, routes: make(map[routeKey]*Route, len(config.Routes))}
	for i := range config.Routes {
		route := &config.Routes[i]
		t.routes[routeKey{host: hostName(route.Host), prefix: route.Prefix}] = route
	}
	return t
}

// Find returns the route of the host with the longest prefix of the path, or
// nil.
func (t *RouteTable) Find(host, path string) *Route {
	host = hostName(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, found := t.routes[routeKey{host: host, prefix: path[:end+1]}]; found {
			return route
		}
	}
	return nil
}

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}
