// Package placement measures the load of a group's hash space and plans
// splits, merges and moves that keep its owners in balance. Each node feeds a
// Sketch and sends an export of bounded size to its coordinator, which joins
// the exports in Loads, derives Capacities from what is observed of the
// backend servers, and asks a Planner what to change.
//
// Loads are rates of cost per second. The unit of cost is the caller's choice,
// for example one per request or the seconds of service.
package placement
