// Package standin groups small stand-ins for outside systems, used by tests,
// the demo, the load generator and the soak test. Packages backend and platform
// stand in for a backend server that owns keys and for the object store of
// package store. Packages keyed, objects and wire stand in for the backend
// server and object store of the users' platform and for its protocol. Package
// endless stands in for a backend server whose answers have no end. Package
// loopback gives each VM of a test fleet an address.
package standin
