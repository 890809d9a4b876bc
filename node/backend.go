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
	// maxAnnouncement bounds the size of an announcement.
	maxAnnouncement = 64 << 10
	// probeTimeout bounds one probe; a healthy backend server answers in 6 ms.
	probeTimeout = 500 * time.Millisecond
)

// prober is the duty that follows the backend server: it waits for the first
// announcement, starts the lease duty, and then probes.
type prober struct {
	n      *Node
	client *http.Client
	// alive is set while the backend server accepts connections.
	alive  bool
	deaths uint64
}

func (n *Node) followBackend(ctx context.Context) {
	p := &prober{n: n, client: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConns: 1}}}
	defer p.client.CloseIdleConnections()
	ticker := time.NewTicker(n.cfg.ProbeInterval)
	defer ticker.Stop()
	for {
		if n.lease.Load() == nil {
			p.await(ctx)
		} else {
			p.probe(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.probeNow:
		}
	}
}

// await joins the group once the backend server has announced itself.
func (p *prober) await(ctx context.Context) {
	a, err := p.announcement(ctx)
	if err != nil {
		if code := core.CodeOf(err); code == core.CodeInvalid || code == core.CodeConflict {
			p.n.log.WithError(err).Error("announcement refused")
		}
		return
	}
	if !p.n.chooseGroup(ctx) {
		return
	}
	p.alive = true
	p.n.join(ctx, a)
}

// probe asks the backend server for its health. A refused connection after an
// accepted one is the death of a run; a new announcement is a new run. A run
// may also start and die between two probes, which only its exchanges show.
func (p *prober) probe(ctx context.Context) {
	healthy, err := p.health(ctx)
	p.n.owner.RecordProbe(err == nil, healthy)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		p.deaths++
		p.n.owner.RecordBackendDeath(suspect.DeathID(uint64(p.n.self.Incarnation)+p.deaths), p.alive)
		if p.alive {
			p.n.log.WithFields(fields{"death": p.deaths}).Warn("backend server died")
		}
		p.alive = false
	case !p.alive && err == nil:
		if a, err := p.announcement(ctx); err == nil {
			p.alive = true
			p.n.owner.Resize(a.Slots, a.Connections)
			p.n.owner.RecordBackendRestart()
			p.n.log.Info("backend server restarted")
		}
	}
}

func (p *prober) health(ctx context.Context) (bool, error) {
	resp, err := p.get(ctx, healthPath)
	if err != nil {
		return false, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnnouncement))
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, nil
}

func (p *prober) announcement(ctx context.Context) (membership.Announcement, error) {
	var a membership.Announcement
	resp, err := p.get(ctx, announcePath)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return a, core.Fail(core.CodeBackendDown, "announcement: status "+resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnnouncement)).Decode(&a); err != nil {
		return a, core.Wrap(core.CodeInvalid, err, "announcement")
	}
	return a, a.Validate(p.n.cfg.Service)
}

func (p *prober) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.n.cfg.BackendAddress+path, nil)
	if err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "probe")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, core.Wrap(core.CodeBackendDown, err, "probe")
	}
	return resp, nil
}

// askProbe asks the prober for a probe at once.
func (n *Node) askProbe() {
	select {
	case n.probeNow <- struct{}{}:
	default:
	}
}

// join starts the lease duty.
func (n *Node) join(ctx context.Context, a membership.Announcement) {
	n.owner.Resize(a.Slots, a.Connections)
	self := n.self
	self.ChecksTokens = a.ChecksTokens
	d, err := lease.New(lease.Config{
		Ownership: ownership.Config{
			Group: n.group(), Self: self, Timing: n.cfg.Timing, KeyRange: membership.GroupRange(n.number.Load(), n.groups),
			MayDrain: n.ejection.mayDrain, ChooseSuccessors: membership.ChooseSuccessors, Eligible: n.damper.Eligible,
		},
		Clock: n.clock, Sender: n.sender,
		Records:  &records{store: n.store, key: groupKey(n.group())},
		HandOver: n.handOver,
		Publish:  func(s *ownership.Snapshot) { n.publish(ctx, s) },
		Journal:  n.recordOwnership,
	})
	if err != nil {
		n.log.WithError(err).Error("cannot join the group")
		return
	}
	ctx, n.stopLease = context.WithCancel(ctx)
	n.lease.Store(d)
	n.run(func() { d.Run(ctx) })
}

// leaveFullGroup ends the lease duty of a node that found no room, for example
// because many nodes chose the same group at once. It runs on that duty; the
// prober then chooses again.
func (n *Node) leaveFullGroup() {
	n.log.WithFields(fields{"group": n.number.Load()}).Warn("group full")
	n.foundFull[n.number.Load()] = true
	n.stopLease()
	n.lease.Store(nil)
}

// healthChanged drains the node while its backend server is ejected. It runs
// on the owner's duty, so the lease duty is told through the ejection duty.
func (n *Node) healthChanged(s health.State, r health.Reason) {
	_ = n.ejection.in.Push(context.Background(), healthChange{state: s, reason: r})
}
