package node

import (
	"context"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
	"marjoramshore.example/membership"
	"marjoramshore.example/store"
)

const (
	// joinTimeout bounds the store reads before a node joins a group.
	joinTimeout = 10 * time.Second
	// recordAge is how old a group's record may be for the choice. A node that
	// found its choice full chooses again without new calls to the store.
	recordAge = time.Minute
)

// chooseGroup decides which group the node joins. A service of one group needs
// one read of the configuration; one of several groups needs their records. It
// returns false when the store does not answer or all groups are full.
func (n *Node) chooseGroup(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	count, err := n.declaredGroups(ctx)
	if err != nil {
		n.log.WithError(err).Warn("cannot choose a group")
		return false
	}
	n.groups = count
	if count == 1 {
		n.number.Store(0)
		return true
	}
	var known []membership.Group
	for i := range count {
		g := core.GroupID{Service: n.cfg.Service, Number: i}
		if n.foundFull[i] {
			full := make([]core.Member, membership.MaxGroupSize)
			known = append(known, membership.Group{Number: i, Members: full})
			continue
		}
		res, err := n.store.Do(ctx, store.Op{Kind: store.OpGet, Key: groupKey(g), MaxAge: recordAge})
		if kindOf(err) == store.KindNotFound && err != nil {
			continue
		}
		if err != nil {
			return false
		}
		if rec, err := decodeRecord(res.Object.Value); err == nil {
			known = append(known, membership.Group{Number: i, Members: rec.Table.Members})
		}
	}
	number, ok := membership.ChooseGroup(n.self, known, count)
	n.number.Store(number)
	if !ok {
		n.log.Error("all groups of the service are full")
		clear(n.foundFull) // members may leave; look again
	}
	return ok
}

func (n *Node) declaredGroups(ctx context.Context) (uint32, error) {
	if g := n.cfg.Services[n.cfg.Service]; g > 1 {
		return g, nil
	}
	res, err := n.store.Do(ctx, store.Op{Kind: store.OpGet, Key: intent.ObjectKey, MaxAge: recordAge})
	if err != nil {
		if kindOf(err) == store.KindNotFound {
			return 1, nil
		}
		return 0, err
	}
	c, err := intent.DecodeConfig(res.Object.Value)
	if err != nil {
		return 0, err
	}
	s, _ := c.Declaration.Service(n.cfg.Service)
	return uint32(max(1, s.Groups)), nil
}
