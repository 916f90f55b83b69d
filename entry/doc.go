// Package entry proxies callers' requests to upstreams. When no upstream responds,
// it responds itself and states whether the request may have run.
package entry
