package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/health"
	"marjoramshore.example/lease"
	"marjoramshore.example/membership"
	"marjoramshore.example/ownership"
	"marjoramshore.example/suspect"
)

const (
	announcePath = "/.well-known/marjoram/announce"
	healthPath   = "/healthz"
	// maxAnnouncementBytes bounds the body of an announcement and of a probe's
	// answer.
	maxAnnouncementBytes = 64 << 10
	// maxProbeHeadBytes bounds the head of an answer to the prober, interim answers
	// included. A faulty backend server may send one without end.
	maxProbeHeadBytes = 16 << 10
	// probeTimeout bounds one request of the prober. A healthy backend server
	// answers in 6 ms.
	probeTimeout = 500 * time.Millisecond
)

// prober is the duty that monitors the backend server. It polls for the first
// announcement, starts the lease duty, and then probes the health.
type prober struct {
	node   *Node
	client *http.Client
	// reachable is set from an accepted connection until a refused one.
	reachable bool
	// deathCount counts refused connections. It makes the IDs of deaths unique.
	deathCount uint64
}

func newProber(n *Node) *prober {
	return &prober{node: n, client: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConns: 1, MaxResponseHeaderBytes: maxProbeHeadBytes}}}
}

// monitorBackend runs the prober at each ProbeInterval, and without delay after
// requestProbe.
func (n *Node) monitorBackend(ctx context.Context) {
	p := newProber(n)
	defer p.client.CloseIdleConnections()
	ticker := time.NewTicker(n.cfg.ProbeInterval)
	defer ticker.Stop()
	for {
		if n.leaseRunner.Load() == nil {
			p.joinWhenAnnounced(ctx)
		} else {
			p.probe(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.probeRequests:
		}
	}
}

// joinWhenAnnounced joins a group if the backend server answers with a valid
// announcement.
func (p *prober) joinWhenAnnounced(ctx context.Context) {
	announcement, err := p.fetchAnnouncement(ctx)
	if err != nil {
		if code := core.CodeOf(err); code == core.CodeInvalid || code == core.CodeConflict {
			p.node.log.WithError(err).Error("announcement of the backend server is not valid; not joining a group")
		}
		return
	}
	if !p.node.chooseGroup(ctx) {
		return
	}
	p.reachable = true
	p.node.joinGroup(ctx, announcement)
}

// probe asks the backend server for its health. A refused connection after an
// accepted one means that the process died, and a later announcement that a new
// one runs. A process may also start and die between two probes, so every
// refused connection is recorded, and the owner decides by its exchanges
// whether a process existed.
func (p *prober) probe(ctx context.Context) {
	healthy, err := p.fetchHealth(ctx)
	p.node.owner.RecordProbe(err == nil, healthy)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		p.deathCount++
		p.node.owner.RecordBackendDeath(suspect.DeathID(uint64(p.node.self.Incarnation)+p.deathCount), p.reachable)
		if p.reachable {
			p.node.log.WithFields(logFields{"death": p.deathCount}).Warn("backend server died: connection refused")
		}
		p.reachable = false
	case !p.reachable && err == nil:
		if announcement, err := p.fetchAnnouncement(ctx); err == nil {
			p.reachable = true
			p.node.owner.Resize(announcement.Slots, announcement.Connections)
			p.node.owner.RecordBackendRestart()
			p.node.log.Info("backend server restarted")
		}
	}
}

func (p *prober) fetchHealth(ctx context.Context) (bool, error) {
	resp, err := p.get(ctx, healthPath)
	if err != nil {
		return false, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnnouncementBytes))
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, nil
}

func (p *prober) fetchAnnouncement(ctx context.Context) (membership.Announcement, error) {
	var announcement membership.Announcement
	resp, err := p.get(ctx, announcePath)
	if err != nil {
		return announcement, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return announcement, core.Fail(core.CodeBackendDown, "announcement: unexpected status "+resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnnouncementBytes)).Decode(&announcement); err != nil {
		return announcement, core.Wrap(core.CodeInvalid, err, "announcement: decode")
	}
	return announcement, announcement.Validate(p.node.cfg.Service)
}

func (p *prober) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.node.cfg.BackendAddress+path, nil)
	if err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "probe of the backend server: create request")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, core.Wrap(core.CodeBackendDown, err, "probe of the backend server")
	}
	return resp, nil
}

// requestProbe makes the prober probe without delay. It does not block.
func (n *Node) requestProbe() {
	select {
	case n.probeRequests <- struct{}{}:
	default:
	}
}

// joinGroup applies the announced limits and starts the lease duty for the
// chosen group.
func (n *Node) joinGroup(ctx context.Context, announcement membership.Announcement) {
	n.owner.Resize(announcement.Slots, announcement.Connections)
	self := n.self
	self.ChecksTokens = announcement.ChecksTokens
	runner, err := lease.New(lease.Config{
		Ownership: ownership.Config{
			Group: n.groupID(), Self: self, Timing: n.cfg.Timing, KeyRange: membership.GroupRange(n.groupNumber.Load(), n.groupCount),
			MayDrain: n.ejection.mayDrain, ChooseSuccessors: membership.ChooseSuccessors, Eligible: n.damper.Eligible,
		},
		Clock: n.clock, Sender: n.groupSender,
		Records:  &groupRecords{store: n.store, key: groupRecordKey(n.groupID())},
		HandOver: n.handOver,
		Publish:  func(s *ownership.Snapshot) { n.publishLease(ctx, s) },
		Journal:  n.recordOwnershipEvent,
	})
	if err != nil {
		n.log.WithError(err).Error("cannot start the lease duty; the next probe tries again")
		return
	}
	ctx, n.stopLease = context.WithCancel(ctx)
	n.leaseRunner.Store(runner)
	n.startDuty(func() { runner.Run(ctx) })
}

// leaveFullGroup stops the lease duty of a node whose group has no room, for
// example because many nodes chose that group at once. It runs on the lease
// duty. The prober then chooses another group.
func (n *Node) leaveFullGroup() {
	n.log.WithFields(logFields{"group": n.groupNumber.Load()}).Warn("group is full; choosing another group")
	n.fullGroups[n.groupNumber.Load()] = true
	n.stopLease()
	n.leaseRunner.Store(nil)
}

// queueHealthChange passes a new health state on to the ejection duty, which
// drains the node while its backend server is ejected. It runs on the owner's
// duty and must not block.
func (n *Node) queueHealthChange(state health.State, reason health.Reason) {
	_ = n.ejection.queue.Push(context.Background(), ejectionMessage{state: state, reason: reason})
}
