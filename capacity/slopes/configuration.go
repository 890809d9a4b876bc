package slopes

import (
	"strconv"

	"marjoramshore.example/capacity"
	"marjoramshore.example/configsync"
	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

// sampleConfig returns a configuration of services like today's, with six
// customers each and no history.
func sampleConfig(services int) intent.Config {
	c := intent.Config{Revision: 100_000, WriteNonce: "3f2504e04f8941d39a0c0305e82c3301"}
	for i := range services {
		s := intent.Service{Name: core.Service("service-" + strconv.Itoa(i)), Region: "fi-south", Groups: 6, Slots: 17, Connections: 130, DrainShare: 0.2,
			Objectives: []intent.Objective{
				{Kind: "short", Availability: 0.9999, LatencyMs: 18, LatencyShare: 0.99},
				{Kind: "long", Availability: 0.999, LatencyMs: 60_000, LatencyShare: 0.99},
			}}
		for j := range 6 {
			// Hashes serve as names, because they compress as badly as real
			// names do.
			name := strconv.FormatUint(uint64(core.HashKey(strconv.Itoa(i*6+j))), 36)
			s.Customers = append(s.Customers, intent.Customer{Name: core.Customer(name[:10]), Weight: 1 + j})
		}
		c.Declaration.Services = append(c.Declaration.Services, s)
	}
	return c
}

// withHistory returns c with the given number of accepted changes added.
func withHistory(c intent.Config, changes int) intent.Config {
	for i := range changes {
		c.History = append(c.History, intent.HistoryEntry{Revision: core.Revision(99_936 + i), Plan: "p-0123456789abcdef", By: "operator@example",
			AtMs: 1_790_000_000_000, Cause: "drain before maintenance", Changes: []intent.Change{{}}})
	}
	return c
}

// measureConfigurations measures the configuration object, which a member pulls
// whole for each new revision.
func measureConfigurations() ([]capacity.Slope, error) {
	encodedBytes := func(c intent.Config) (float64, error) {
		b, err := intent.Encode(c)
		return float64(len(b)), err
	}
	services, err := measureSizes(capacity.Slope{Name: "config-bytes", Unit: "bytes", Per: "service", Counted: true}, []int{4, 20, 60},
		func(n int) (float64, error) { return encodedBytes(sampleConfig(n)) })
	if err != nil {
		return nil, err
	}
	history, err := measureSizes(capacity.Slope{Name: "config-history-bytes", Unit: "bytes", Per: "change in the history", Counted: true}, []int{4, 16, 64},
		func(n int) (float64, error) { return encodedBytes(withHistory(intent.Config{}, n)) })
	if err != nil {
		return nil, err
	}
	relay, err := measureSizes(capacity.Slope{Name: "config-relay-bytes", Unit: "bytes", Per: "service", Counted: true}, []int{4, 20, 60},
		func(n int) (float64, error) {
			b, err := configsync.EncodeForMembers(withHistory(sampleConfig(n), 64))
			return float64(len(b)), err
		})
	if err != nil {
		return nil, err
	}
	memory, err := measureSizes(capacity.Slope{Name: "config-memory", Unit: "bytes", Per: "service"}, []int{4, 20, 60},
		func(n int) (float64, error) {
			b, err := intent.Encode(withHistory(sampleConfig(n), 64))
			return heapOf(20, func() intent.Config {
				c, _ := intent.DecodeConfig(b)
				return c
			}), err
		})
	return []capacity.Slope{services, history, relay, memory}, err
}
