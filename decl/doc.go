// Package decl is the library with which operators declare services,
// upstreams, routes and client accounts; it checks while it builds and prints
// deterministic YAML.
package decl
