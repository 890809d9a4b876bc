// Package intent defines the configuration that operators declare: services,
// constraints, drains and quarantines. It decodes declarations strictly,
// computes the plan of a change without making it, and confirms a plan against
// the revision that it was computed from. It does no I/O.
package intent
