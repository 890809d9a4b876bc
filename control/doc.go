// Package control answers operators on one node: it plans and confirms changes
// of the declared configuration, reports where they are in force, explains who
// owns a key and why, and gathers reports from the fleet.
package control
