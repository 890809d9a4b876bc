// Package entrance routes a caller's request, at whichever node it arrives, to
// the node that owns its key. Tables keeps the routing view up to date; Router
// sends the request by that view and by the retry policy of package routing. A
// request that did not run is sent again only within the limits of that policy.
// A request that may have run is sent again only if it is idempotent.
package entrance
