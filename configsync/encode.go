package configsync

import "marjoramshore.example/intent"

// EncodeForMembers encodes a configuration for the members of a coordinator. It
// omits the history of changes, which only the store holds.
func EncodeForMembers(c intent.Config) ([]byte, error) {
	c.History = nil
	return intent.Encode(c)
}
