package configsync

import "marjoramshore.example/intent"

// Pack returns the form in which a coordinator gives a configuration to its
// members: without the history of changes, which the store keeps.
func Pack(c intent.Config) ([]byte, error) {
	c.History = nil
	return intent.Encode(c)
}
