// Package firms declares the deployments of the two firms that the product is
// built for; they serve as examples, in the demo and in tests.
package firms
