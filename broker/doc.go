// Package broker decides for one pool which request runs on which upstream and
// when: slots, queue, fairness between accounts, long work, suspects. It is
// pure: the present time and the seed are arguments, decisions come out as
// actions.
package broker
