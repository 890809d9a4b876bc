// Package peers carries what nodes say to each other: requests on their way to
// a backend server over HTTP/1.1, calls between duties with connect-go, and
// beacons in datagrams. It decides nothing.
package peers
