// Package core defines the types that all modules share: identities, hash
// ranges, assignment tables, fencing tokens, requests and responses, outcomes
// and typed errors. It does not depend on clocks, networks or encodings.
package core
