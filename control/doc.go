// Package control implements the operators' API on one node: it plans and
// confirms changes of the declared configuration, reports on which nodes they
// are in force, explains which node owns a key and why, and collects reports
// from the other nodes.
package control
