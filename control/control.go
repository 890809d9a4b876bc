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

// PeerClient calls control methods of other nodes by address.
type PeerClient interface {
	Call(ctx context.Context, addr, method string, payload []byte) ([]byte, error)
}

// Config connects a Controller to the parts of its node.
type Config struct {
	Self    core.Member
	Region  core.Region
	Service core.Service
	// GroupID returns the ownership group of the node.
	GroupID func() core.GroupID
	Clock   clock.Clock
	// LeaseSnapshot returns the newest snapshot of the lease, or nil if the node
	// has none.
	LeaseSnapshot func() *ownership.Snapshot
	// View returns the current view of the routing tables.
	View func() *routing.View
	// CurrentConfig returns the configuration in force on this node; OfferConfig
	// gives the node a newer one.
	CurrentConfig func() *intent.Config
	OfferConfig   func(intent.Config)
	Store         store.Doer
	// StoreStatus reports whether the store answers this node.
	StoreStatus func() operator.StoreStatus
	// BackendStatus reports the state of the backend server beside the node.
	BackendStatus func(ctx context.Context) operator.BackendStatus
	// RecentEvents returns the latest events of this node, newest first.
	RecentEvents func(ctx context.Context, limit int) []operator.Event
	// KeyEvents returns the events of this node about the key with hash h, oldest
	// first.
	KeyEvents func(ctx context.Context, h core.Hash) []operator.Event
	// BurnReport renders the report on service levels of the whole fleet, and
	// the HTML page if html is set.
	BurnReport func(ctx context.Context, c *Controller, html bool) (operator.BurnReport, error)
	Peers      PeerClient
}

const (
	// maxKeptPlans bounds the plans that this node keeps for a confirmation. The
	// oldest is dropped first.
	maxKeptPlans = 64
	// planQueueLength bounds the queue of reads and writes of the kept plans.
	planQueueLength = 64
	// inForceTimeout bounds the wait for a change to be in force on all nodes.
	// It equals the target time for that.
	inForceTimeout = 8 * time.Second
	// inForcePollInterval is the time between two requests to the nodes for the
	// revision that they have in force.
	inForcePollInterval = 250 * time.Millisecond
)

// Controller implements operator.Backend. Apply, Plan and Confirm with a plan ID
// need a running Run.
type Controller struct {
	cfg          Config
	planRequests *ring.Ring[func(*planCache)]
}

var _ operator.Backend = (*Controller)(nil)

// planCache holds plans, oldest first. Only the goroutine of Run accesses it.
type planCache struct{ plans []intent.Plan }

// New returns a Controller. The caller starts Run in a goroutine of its own.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, planRequests: ring.New[func(*planCache)]("plans", planQueueLength, ring.Refuse)}
}

// Run stores and looks up the plans that this node keeps, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var cache planCache
	ring.Consume(ctx, c.planRequests, 0, func(f func(*planCache)) { f(&cache) }, nil)
}

// Apply implements operator.Backend.
func (c *Controller) Apply(ctx context.Context, declaration intent.Declaration) (intent.Plan, error) {
	base, err := c.newestConfig(ctx)
	if err != nil {
		return intent.Plan{}, err
	}
	plan, err := intent.ComputePlan(base, declaration, c.fleetState(ctx))
	if err != nil {
		return intent.Plan{}, err
	}
	for _, service := range declaration.Services {
		for _, constraint := range service.Constraints {
			plan.Refusals = append(plan.Refusals, intent.Refusal{Service: service.Name, Action: "enforce constraint " + constraint.Name,
				Reason: "constraints are recorded, but placement does not follow them yet"})
		}
	}
	err = c.planRequests.Push(ctx, func(cache *planCache) {
		if len(cache.plans) == maxKeptPlans {
			cache.plans = cache.plans[1:]
		}
		cache.plans = append(cache.plans, plan)
	})
	if err != nil {
		return intent.Plan{}, core.Wrap(core.CodeOverloaded, err, "plan not kept: its request could not be queued")
	}
	return plan, nil
}

// Plan implements operator.Backend.
func (c *Controller) Plan(ctx context.Context, id string) (intent.Plan, error) {
	reply := ring.NewReply[*intent.Plan]()
	err := c.planRequests.Push(ctx, func(cache *planCache) {
		for i := range cache.plans {
			if cache.plans[i].ID == id {
				p := cache.plans[i]
				reply.Send(&p)
				return
			}
		}
		reply.Send(nil)
	})
	if err != nil {
		return intent.Plan{}, core.Wrap(core.CodeOverloaded, err, "plan not looked up: its request could not be queued")
	}
	p, ok := reply.Wait(ctx)
	if !ok || p == nil {
		return intent.Plan{}, core.Fail(core.CodeNotFound, "no such plan on this node; plans are kept where they were made")
	}
	return *p, nil
}

// Confirm implements operator.Backend.
func (c *Controller) Confirm(ctx context.Context, request operator.ConfirmRequest) (operator.ChangeResult, error) {
	plan := request.Plan
	if plan == nil {
		p, err := c.Plan(ctx, request.PlanID)
		if err != nil {
			return operator.ChangeResult{}, err
		}
		plan = &p
	}
	return c.applyChange(ctx, request.Attribution, func(base intent.Config) (intent.Plan, error) { return *plan, nil })
}

// Drain implements operator.Backend. It plans and confirms the change in one
// step.
func (c *Controller) Drain(ctx context.Context, request operator.DrainRequest, start bool) (operator.ChangeResult, error) {
	return c.applyChange(ctx, request.Attribution, func(base intent.Config) (intent.Plan, error) {
		if err := c.checkDrain(base.Declaration, request, start); err != nil {
			return intent.Plan{}, err
		}
		want, err := base.Declaration.WithDrain(request.Service, request.Node, start)
		if err != nil {
			return intent.Plan{}, err
		}
		p, err := intent.ComputePlan(base, want, c.fleetState(ctx))
		if err == nil && len(p.Changes) == 0 && len(p.Refusals) > 0 {
			err = core.Fail(core.CodeConflict, p.Refusals[0].Action+": "+p.Refusals[0].Reason)
		}
		return p, err
	})
}

// checkDrain returns CodeNotFound for the start of a drain of an unknown node
// and for the end of a drain that is not declared.
func (c *Controller) checkDrain(declaration intent.Declaration, request operator.DrainRequest, start bool) error {
	service, _ := declaration.Service(request.Service)
	if !start && !slices.Contains(service.Drains, request.Node) {
		return core.Fail(core.CodeNotFound, "node "+string(request.Node)+" is not being drained")
	}
	known := slices.ContainsFunc(c.MembersOf(request.Service), func(m core.Member) bool { return m.Node == request.Node })
	if start && !known {
		return core.Fail(core.CodeNotFound, "node "+string(request.Node)+" is not known in the service")
	}
	return nil
}

// Quarantine implements operator.Backend.
func (c *Controller) Quarantine(ctx context.Context, request operator.QuarantineRequest) (operator.ChangeResult, error) {
	if _, err := strconv.ParseUint(request.Fingerprint, 16, 64); err != nil {
		return operator.ChangeResult{}, intent.Faults{{Field: "fingerprint", Limit: "must be up to 16 hexadecimal digits"}}
	}
	if request.Lift {
		// Most quarantines are detected by the nodes themselves and are not part
		// of the declaration, so the call to lift one goes to every node.
		c.CallAll(ctx, MethodLiftQuarantine, []byte(request.Fingerprint))
	}
	return c.applyChange(ctx, request.Attribution, func(base intent.Config) (intent.Plan, error) {
		want, err := base.Declaration.WithQuarantine(request.Service, request.Fingerprint, !request.Lift)
		if err != nil {
			return intent.Plan{}, err
		}
		return intent.ComputePlan(base, want, c.fleetState(ctx))
	})
}

// MethodLiftQuarantine is the control method that ends a quarantine on one
// node.
const MethodLiftQuarantine = "lift"

// applyChange confirms a plan against the stored configuration, writes the
// result, and waits until it is in force. The write is conditional: of two
// concurrent changes one is refused, with an error that lists what the other
// changed.
func (c *Controller) applyChange(ctx context.Context, author operator.Attribution, makePlan func(intent.Config) (intent.Plan, error)) (operator.ChangeResult, error) {
	base, version, err := c.readConfig(ctx)
	if err != nil {
		return operator.ChangeResult{}, err
	}
	plan, err := makePlan(base)
	if err != nil {
		return operator.ChangeResult{}, err
	}
	next, err := intent.Confirm(base, plan, intent.Confirmation{By: author.By, Cause: author.Cause, AtMs: time.Now().UnixMilli()})
	if err != nil {
		return operator.ChangeResult{}, err
	}
	if next.Revision != base.Revision {
		if err := c.writeConfig(ctx, next, version); err != nil {
			return operator.ChangeResult{}, c.explainWriteFailure(ctx, plan, err)
		}
	}
	c.cfg.OfferConfig(next)
	result := operator.ChangeResult{Revision: next.Revision, WontDo: plan.Refusals}
	result.WaitingFor = c.awaitInForce(ctx, next.Revision)
	result.InForce = len(result.WaitingFor) == 0
	return result, nil
}

// writeConfig writes next if the stored object still has version ifVersion.
func (c *Controller) writeConfig(ctx context.Context, next intent.Config, ifVersion uint64) error {
	var nonce [8]byte
	_, _ = rand.Read(nonce[:])
	next.WriteNonce = hex.EncodeToString(nonce[:])
	value, err := intent.Encode(next)
	if err != nil {
		return err
	}
	_, err = store.PutIdempotent(ctx, c.cfg.Store, store.Op{Key: intent.ObjectKey, Value: value, IfVersion: ifVersion, Urgent: true})
	return err
}

// explainWriteFailure turns a failed write of a plan into an error for the
// operator. For a conflict, the error lists the changes made since the plan.
func (c *Controller) explainWriteFailure(ctx context.Context, plan intent.Plan, err error) error {
	if storeErrorKind(err) == store.KindConflict {
		if current, _, e := c.readConfig(ctx); e == nil {
			if _, e := intent.Confirm(current, plan, intent.Confirmation{}); e != nil {
				return e
			}
		}
		return core.Wrap(core.CodeConflict, err, "another change to the configuration was written first")
	}
	return core.Wrap(core.CodeUnavailable, err, "the changed configuration could not be written to the store")
}

// readConfig returns the stored configuration and the version of its object. If
// none is stored, it returns an empty configuration and version 0.
func (c *Controller) readConfig(ctx context.Context) (intent.Config, uint64, error) {
	r, err := c.cfg.Store.Do(ctx, store.Op{Kind: store.OpGet, Key: intent.ObjectKey, Urgent: true})
	if storeErrorKind(err) == store.KindNotFound {
		return intent.Config{}, 0, nil
	}
	if err != nil {
		return intent.Config{}, 0, core.Wrap(core.CodeUnavailable, err, "the configuration could not be read from the store")
	}
	conf, err := intent.DecodeConfig(r.Object.Value)
	return conf, r.Object.Version, err
}

// newestConfig returns the newer of the stored configuration and the one in
// force on this node.
func (c *Controller) newestConfig(ctx context.Context) (intent.Config, error) {
	conf, _, err := c.readConfig(ctx)
	return intent.Newer(*c.cfg.CurrentConfig(), conf), err
}

// awaitInForce waits until every known node has the revision in force. It
// returns the nodes that do not have it after inForceTimeout.
func (c *Controller) awaitInForce(ctx context.Context, revision core.Revision) []core.NodeID {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		waiting := intent.NodesBehind(revisionsByNode(c.collectReports(ctx)), revision)
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
