// Package sample declares the deployments of the two firms that the product is
// built for. They serve as examples and as fixtures of the demo and of tests.
package sample
