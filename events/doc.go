// Package events keeps the recent events of a node in bounded memory: changes
// of ownership, bursts of refusals, quarantines, takeovers, drains and similar,
// each with its cause. Equal refusals are merged into one event with a count.
// The package reads no clock; callers pass the wall time of each event.
package events
