// Package placement measures the load of a group's hash space and plans splits,
// merges and moves that balance the load of the group's members. Each node
// counts its work in a Sketch and sends an export of bounded size to its
// coordinator. The coordinator joins the exports in a LoadAggregator and asks
// a Planner what to change. A CapacityModel derives the Capacity of each
// member from observations of the backend servers.
//
// The part of the hash space that a group owns is its span. Loads are rates of
// cost per second. The unit of cost is the caller's choice, for example one per
// request or the seconds of service time. The share of a member is the load
// that it should carry, in proportion to its weight. A hash whose load exceeds
// Config.HighRatio times the greatest share is oversized: it gets a member of
// its own.
package placement
