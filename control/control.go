package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/intent"
	"marjoramshore.example/operator"
	"marjoramshore.example/ownership"
	"marjoramshore.example/ring"
	"marjoramshore.example/routing"
	"marjoramshore.example/store"
)

// Peers calls the control methods of other nodes.
type Peers interface {
	Call(ctx context.Context, addr, method string, payload []byte) ([]byte, error)
}

// Config joins a Control to the node.
type Config struct {
	Self    core.Member
	Region  core.Region
	Service core.Service
	// GroupID returns the ownership group of the node.
	GroupID func() core.GroupID
	Clock   clock.Clock
	// LeaseSnapshot returns the newest lease snapshot, or nil.
	LeaseSnapshot func() *ownership.Snapshot
	// View returns the routing view.
	View func() *routing.View
	// CurrentConfig returns the configuration in force; Offer hands over a newer one.
	CurrentConfig func() *intent.Config
	OfferConfig   func(intent.Config)
	Store         store.Doer
	// StoreStatus reports the path to the store.
	StoreStatus func() operator.StoreStatus
	// BackendStatus reports the backend server beside the node.
	BackendStatus func(ctx context.Context) operator.BackendStatus
	// RecentEvents returns the latest events of this node, newest first.
	RecentEvents func(ctx context.Context, limit int) []operator.Event
	// KeyEvents returns the events of this node about one key, oldest first.
	KeyEvents func(ctx context.Context, h core.Hash) []operator.Event
	// BurnReport renders the fleet's report.
	BurnReport func(ctx context.Context, c *Controller, html bool) (operator.BurnReport, error)
	Peers      Peers
}

const (
	// keptPlans bounds the plans that wait for a confirmation on this node.
	keptPlans = 64
	// requests bounds queued requests for the kept plans.
	requests = 64
	// inForceWithin is the target for a change to be in force everywhere.
	inForceWithin = 8 * time.Second
	// inForcePoll is how often the nodes are asked for their revision.
	inForcePoll = 250 * time.Millisecond
)

// Controller implements operator.Backend.
type Controller struct {
	cfg   Config
	plans *ring.Ring[func(*kept)]
}

var _ operator.Backend = (*Controller)(nil)

// kept holds plans in the order in which they were made. It is owned by the
// goroutine of Run.
type kept struct{ list []intent.Plan }

// New makes a Control. Run starts its duty.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, plans: ring.New[func(*kept)]("plans", requests, ring.Refuse)}
}

// Run is the duty that keeps plans. It returns when ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var k kept
	ring.Consume(ctx, c.plans, 0, func(f func(*kept)) { f(&k) }, nil)
}

// Apply implements operator.Backend.
func (c *Controller) Apply(ctx context.Context, want intent.Declaration) (intent.Plan, error) {
	base, err := c.newest(ctx)
	if err != nil {
		return intent.Plan{}, err
	}
	p, err := intent.Make(base, want, c.state(ctx))
	if err != nil {
		return intent.Plan{}, err
	}
	for _, s := range want.Services {
		for _, x := range s.Constraints {
			p.WontDo = append(p.WontDo, intent.Refusal{Service: s.Name, What: "enforce constraint " + x.Name,
				Why: "constraints are recorded, but placement does not follow them yet"})
		}
	}
	err = c.plans.Push(ctx, func(k *kept) {
		if len(k.list) == keptPlans {
			k.list = k.list[1:]
		}
		k.list = append(k.list, p)
	})
	if err != nil {
		return intent.Plan{}, core.Wrap(core.CodeOverloaded, err, "plan not kept")
	}
	return p, nil
}

// Plan implements operator.Backend.
func (c *Controller) Plan(ctx context.Context, id string) (intent.Plan, error) {
	reply := ring.NewReply[*intent.Plan]()
	err := c.plans.Push(ctx, func(k *kept) {
		for i := range k.list {
			if k.list[i].ID == id {
				p := k.list[i]
				reply.Send(&p)
				return
			}
		}
		reply.Send(nil)
	})
	if err != nil {
		return intent.Plan{}, core.Wrap(core.CodeOverloaded, err, "plan")
	}
	p, ok := reply.Wait(ctx)
	if !ok || p == nil {
		return intent.Plan{}, core.Fail(core.CodeNotFound, "no such plan on this node; plans are kept where they were made")
	}
	return *p, nil
}

// Confirm implements operator.Backend.
func (c *Controller) Confirm(ctx context.Context, in operator.ConfirmRequest) (operator.ChangeResult, error) {
	plan := in.Plan
	if plan == nil {
		p, err := c.Plan(ctx, in.PlanID)
		if err != nil {
			return operator.ChangeResult{}, err
		}
		plan = &p
	}
	return c.change(ctx, in.Attribution, func(base intent.Config) (intent.Plan, error) { return *plan, nil })
}

// Drain implements operator.Backend. It plans and confirms in one step.
func (c *Controller) Drain(ctx context.Context, in operator.DrainRequest, on bool) (operator.ChangeResult, error) {
	return c.change(ctx, in.Attribution, func(base intent.Config) (intent.Plan, error) {
		if err := c.checkDrain(base.Declaration, in, on); err != nil {
			return intent.Plan{}, err
		}
		want, err := base.Declaration.WithDrain(in.Service, in.Node, on)
		if err != nil {
			return intent.Plan{}, err
		}
		p, err := intent.Make(base, want, c.state(ctx))
		if err == nil && len(p.Changes) == 0 && len(p.WontDo) > 0 {
			err = core.Fail(core.CodeConflict, p.WontDo[0].What+": "+p.WontDo[0].Why)
		}
		return p, err
	})
}

// checkDrain refuses a drain of a node that is not known, and the end of a
// drain that was not declared.
func (c *Controller) checkDrain(d intent.Declaration, in operator.DrainRequest, on bool) error {
	s, _ := d.Service(in.Service)
	if !on && !slices.Contains(s.Drains, in.Node) {
		return core.Fail(core.CodeNotFound, "node "+string(in.Node)+" is not being drained")
	}
	known := slices.ContainsFunc(c.MembersOf(in.Service), func(m core.Member) bool { return m.Node == in.Node })
	if on && !known {
		return core.Fail(core.CodeNotFound, "node "+string(in.Node)+" is not known in the service")
	}
	return nil
}

// Quarantine implements operator.Backend.
func (c *Controller) Quarantine(ctx context.Context, in operator.QuarantineRequest) (operator.ChangeResult, error) {
	if _, err := strconv.ParseUint(in.Fingerprint, 16, 64); err != nil {
		return operator.ChangeResult{}, intent.Faults{{Field: "fingerprint", Limit: "must be up to 16 hexadecimal digits"}}
	}
	if in.Lift {
		// Most quarantines were found by the nodes themselves and are not
		// declared, so that each node is told.
		c.CallAll(ctx, MethodLiftQuarantine, []byte(in.Fingerprint))
	}
	return c.change(ctx, in.Attribution, func(base intent.Config) (intent.Plan, error) {
		want, err := base.Declaration.WithQuarantine(in.Service, in.Fingerprint, !in.Lift)
		if err != nil {
			return intent.Plan{}, err
		}
		return intent.Make(base, want, c.state(ctx))
	})
}

// MethodLiftQuarantine is the control method that ends a quarantine on one node.
const MethodLiftQuarantine = "lift"

// change confirms a plan against the newest configuration, writes it, and
// waits for it to be in force. The write is conditional, so of two operators
// at once one is refused with what the other changed.
func (c *Controller) change(ctx context.Context, who operator.Attribution, plan func(intent.Config) (intent.Plan, error)) (operator.ChangeResult, error) {
	base, version, err := c.read(ctx)
	if err != nil {
		return operator.ChangeResult{}, err
	}
	p, err := plan(base)
	if err != nil {
		return operator.ChangeResult{}, err
	}
	next, err := intent.Confirm(base, p, intent.Confirmation{By: who.By, Cause: who.Cause, AtMs: time.Now().UnixMilli()})
	if err != nil {
		return operator.ChangeResult{}, err
	}
	if next.Revision != base.Revision {
		if err := c.write(ctx, next, version); err != nil {
			return operator.ChangeResult{}, c.refused(ctx, p, err)
		}
	}
	c.cfg.OfferConfig(next)
	out := operator.ChangeResult{Revision: next.Revision, WontDo: p.WontDo}
	out.WaitingFor = c.awaitInForce(ctx, next.Revision)
	out.InForce = len(out.WaitingFor) == 0
	return out, nil
}

func (c *Controller) write(ctx context.Context, next intent.Config, ifVersion uint64) error {
	var nonce [8]byte
	_, _ = rand.Read(nonce[:])
	next.Writer = hex.EncodeToString(nonce[:])
	value, err := intent.Encode(next)
	if err != nil {
		return err
	}
	_, err = store.PutIdempotent(ctx, c.cfg.Store, store.Op{Key: intent.ObjectKey, Value: value, IfVersion: ifVersion, Urgent: true})
	return err
}

// refused explains a conflict by what was changed in between.
func (c *Controller) refused(ctx context.Context, p intent.Plan, err error) error {
	if storeKind(err) == store.KindConflict {
		if now, _, e := c.read(ctx); e == nil {
			if _, e := intent.Confirm(now, p, intent.Confirmation{}); e != nil {
				return e
			}
		}
		return core.Wrap(core.CodeConflict, err, "another change came first")
	}
	return core.Wrap(core.CodeUnavailable, err, "the change was not accepted")
}

// read returns the stored configuration and its version; without one, an
// empty configuration and version 0.
func (c *Controller) read(ctx context.Context) (intent.Config, uint64, error) {
	r, err := c.cfg.Store.Do(ctx, store.Op{Kind: store.OpGet, Key: intent.ObjectKey, Urgent: true})
	if storeKind(err) == store.KindNotFound {
		return intent.Config{}, 0, nil
	}
	if err != nil {
		return intent.Config{}, 0, core.Wrap(core.CodeUnavailable, err, "the store does not answer")
	}
	conf, err := intent.DecodeConfig(r.Object.Value)
	return conf, r.Object.Version, err
}

func (c *Controller) newest(ctx context.Context) (intent.Config, error) {
	conf, _, err := c.read(ctx)
	return intent.Newer(*c.cfg.CurrentConfig(), conf), err
}

// awaitInForce waits until every known node has the revision in force, and
// returns those that have not within the target time.
func (c *Controller) awaitInForce(ctx context.Context, want core.Revision) []core.NodeID {
	ctx, cancel := context.WithTimeout(ctx, inForceWithin)
	defer cancel()
	ticker := time.NewTicker(inForcePoll)
	defer ticker.Stop()
	for {
		waiting := intent.Waiting(revisionsOf(c.reports(ctx)), want)
		if len(waiting) == 0 {
			return waiting
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return waiting
		}
	}
}
