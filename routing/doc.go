// Package routing decides where a request goes and what follows a failure. A
// View maps each service's key space to the tables of its ownership groups;
// Diff and Apply carry table changes between nodes; RetryPolicy and Budget
// limit what is sent again. The package opens no connections and reads no
// clock.
package routing
