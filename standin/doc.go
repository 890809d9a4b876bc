// Package standin groups small stand-ins for outside systems, used by tests,
// the demo and the load generator: package backend for the backend server and
// package platform for the platform's object store.
package standin
