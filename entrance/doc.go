// Package entrance takes a caller's request from any node to the owner of its
// key. The Tables duty owns the routing view; the Router follows the retry
// policy with it. A request that did not run is tried again only within the
// policy; one that may have run is never repeated unless it is idempotent.
package entrance
