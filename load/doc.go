// Package load is an open-loop load generator for callers' requests. Requests
// start at drawn instants whether or not earlier ones have been answered, and
// latency counts from the drawn instant, so that a stall of the router shows
// in the quantiles (no coordinated omission).
package load
