package node

import (
	"time"

	"marjoramshore.example/admission"
	"marjoramshore.example/once"
	"marjoramshore.example/ownership"
	"marjoramshore.example/settings"
	"marjoramshore.example/store"
	"marjoramshore.example/storehttp"
)

// watchWait is the length of one long poll. A connection that the network
// dropped silently is noticed after it and a call's timeout, and a change must
// be in force everywhere within 8 s of its acceptance.
const watchWait = 3 * time.Second

// FromSettings returns the configuration that a settings file describes.
func FromSettings(s settings.Settings) (Config, error) {
	client, err := storehttp.New(storehttp.Config{BaseURL: s.Store.URL, Timeout: s.Store.Timeout, WatchWait: watchWait})
	if err != nil {
		return Config{}, err
	}
	timing := ownership.DefaultTiming()
	timing.HeartbeatInterval, timing.PromiseDuration = s.Timing.Heartbeat, s.Timing.Promise
	timing.MemberLease, timing.TermLease = s.Timing.Lease, s.Timing.Term
	return Config{
		Node: s.Node, Region: s.Region, DataCentre: s.DataCentre, Service: s.Service,
		CallerListen: s.Listen.Caller.String(), PeerListen: s.Listen.Peer.String(),
		OperatorListen: s.Listen.Operator.String(), MetricsListen: s.Listen.Metrics.String(),
		CallerAddress: s.Advertise.Caller.String(), PeerAddress: s.Advertise.Peer.String(),
		BackendAddress: s.Backend.String(), PeerKey: []byte(s.PeerKey.Reveal()),
		ReadToken: s.ReadToken.Reveal(), ChangeToken: s.ChangeToken.Reveal(), OperatorBytes: s.Limits.OperatorBytes,
		Store: client,
		StoreBudget: store.Config{
			CallsPerSecond: float64(s.Store.CallsPerMinute) / 60, CallTimeout: s.Store.Timeout,
			CallWorkers: s.Pools.StoreCalls, WatchWorkers: s.Pools.StoreWatches,
		},
		Timing:      timing,
		Admission:   admission.Config{QueueSize: s.Limits.QueuedRequests},
		Once:        once.Config{MaxBytes: s.Limits.RecordBytes},
		MaxWaiting:  s.Limits.WaitingRequests,
		MaxConns:    s.Limits.Connections,
		HeaderBytes: s.Limits.HeaderBytes,
		Bodies:      s.Pools.Bodies,
	}, nil
}
