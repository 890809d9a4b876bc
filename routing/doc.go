// Package routing selects the owner to which a request is sent and decides what
// follows a failed attempt. A View holds the ownership tables of each service's
// key space. Diff returns the changes between two versions of a table, and
// Apply applies them. RetryPolicy and RetryBudget limit retries. The package
// opens no connections and reads no clock.
package routing
