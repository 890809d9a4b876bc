// Package storehttp is a client for the HTTP protocol of the platform's object
// store. It implements store.Store.
package storehttp
