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

// longPollWait is how long the store holds one long poll. A connection that
// was dropped without a reset is noticed after this wait and the timeout of a
// call, and an accepted change must be in force everywhere within 8 s.
const longPollWait = 3 * time.Second

// FromSettings returns the configuration of a node from its settings file.
func FromSettings(s settings.Settings) (Config, error) {
	client, err := storehttp.New(storehttp.Config{BaseURL: s.Store.URL, Timeout: s.Store.Timeout, WatchWait: longPollWait})
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
		ReadToken: s.ReadToken.Reveal(), ChangeToken: s.ChangeToken.Reveal(), MaxOperatorBodyBytes: s.Limits.OperatorBytes,
		Store: client,
		StoreLimits: store.Config{
			CallsPerSecond: float64(s.Store.CallsPerMinute) / 60, CallTimeout: s.Store.Timeout,
			CallWorkers: s.Pools.StoreCalls, WatchWorkers: s.Pools.StoreWatches,
		},
		Timing:             timing,
		Admission:          admission.Config{QueueSize: s.Limits.QueuedRequests},
		AtMostOnce:         once.Config{MaxBytes: s.Limits.RecordBytes},
		MaxWaitingRequests: s.Limits.WaitingRequests,
		MaxConns:           s.Limits.Connections,
		MaxHeaderBytes:     s.Limits.HeaderBytes,
		MaxPeerUploads:     s.Pools.Bodies,
	}, nil
}
