// Package intent holds what operators declare: services, constraints, drains
// and quarantines. It decodes strictly, plans a change without making it, and
// confirms a plan against the revision it was made from. It does no I/O.
package intent
