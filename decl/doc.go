// Package decl is the library in which operators declare services, upstreams,
// routes and client accounts as Go code. It validates the declarations and prints
// them as deterministic YAML.
package decl
