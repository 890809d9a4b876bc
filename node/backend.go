package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/lease"
	"marjoramshore.example/ownership"
)

const (
	announcePath = "/.well-known/marjoram/announce"
	// maxAnnouncement bounds the size of an announcement.
	maxAnnouncement = 64 << 10
	// probeTimeout bounds one probe; a healthy backend server answers in 6 ms.
	probeTimeout = time.Second
)

// announcement is what a backend server says of itself.
type announcement struct {
	Service      core.Service `json:"service"`
	Slots        int          `json:"slots"`
	Connections  int          `json:"connections"`
	ChecksTokens bool         `json:"checks_tokens"`
}

// followBackend waits for the backend server's announcement and then runs the
// lease duty.
func (n *Node) followBackend(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConns: 1}}
	ticker := time.NewTicker(n.cfg.ProbeInterval)
	defer ticker.Stop()
	for {
		a, err := n.announcement(ctx, client)
		if err == nil && a.Service == n.cfg.Service {
			n.join(ctx, a)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) announcement(ctx context.Context, client *http.Client) (announcement, error) {
	var a announcement
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.cfg.BackendAddress+announcePath, nil)
	if err != nil {
		return a, core.Wrap(core.CodeInvalid, err, "announcement")
	}
	resp, err := client.Do(req)
	if err != nil {
		return a, core.Wrap(core.CodeBackendDown, err, "announcement")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return a, core.Fail(core.CodeBackendDown, "announcement: status "+resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnnouncement)).Decode(&a); err != nil {
		return a, core.Wrap(core.CodeInvalid, err, "announcement")
	}
	return a, nil
}

// join starts the lease duty and runs it until ctx ends.
func (n *Node) join(ctx context.Context, a announcement) {
	n.owner.Resize(a.Slots, a.Connections)
	self := n.self
	self.ChecksTokens = a.ChecksTokens
	d, err := lease.New(lease.Config{
		Ownership: ownership.Config{Group: n.group(), Self: self, Timing: n.cfg.Timing, DrainShare: n.cfg.DrainShare},
		Clock:     n.clock, Sender: n.sender,
		Records:  &records{store: n.store, key: groupKey(n.group())},
		HandOver: n.handOver,
		Publish:  func(s *ownership.Snapshot) { n.publish(ctx, s) },
		Journal:  func(ownership.Event) {},
	})
	if err != nil {
		return
	}
	n.lease.Store(d)
	d.Run(ctx)
}
