// Package load is an open-loop load generator for callers' requests. Requests
// start at random scheduled times whether or not earlier ones have been
// answered, and latency counts from the scheduled time, so that a stall of the
// router shows in the quantiles (no coordinated omission).
package load
