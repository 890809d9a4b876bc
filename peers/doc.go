// Package peers implements the traffic between nodes: requests that a node
// forwards to the node of a backend server over HTTP/1.1, calls with
// connect-go, and beacons in UDP datagrams. It contains no routing or
// assignment decisions.
package peers
