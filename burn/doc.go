// Package burn measures how fast services use up their error budgets. Counters
// in fixed memory give burn rates over paired windows of 5 minutes and 1 hour,
// and of 30 minutes and 6 hours, for each service and kind of work, and the
// customers and keys that use the most budget. Snapshots of several nodes merge
// into one for the fleet. Package burn/report renders them.
package burn
