// Package core holds the types that every module shares: identities, hash
// ranges, fencing tokens, requests and responses, outcomes and typed errors.
// It knows nothing of time sources, networks or encodings.
package core
