package configsync

import "marjoramshore.example/intent"

// EncodeForMembers returns the form in which a coordinator gives a configuration to its
// members: without the history of changes, which the store keeps.
func EncodeForMembers(c intent.Config) ([]byte, error) {
	c.History = nil
	return intent.Encode(c)
}
