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
	// chooseGroupTimeout bounds all store reads of one choice of a group.
	chooseGroupTimeout = 10 * time.Second
	// maxRecordAge is the age up to which a cached record serves for the
	// choice, so that a node whose group was full chooses again without new
	// calls to the store.
	maxRecordAge = time.Minute
)

// chooseGroup sets the number of the group that the node joins, and the number
// of groups of the service. A service with one group takes one read of the
// configuration; with several groups, their records are read as well. It
// returns false when the store does not answer or all groups are full.
func (n *Node) chooseGroup(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, chooseGroupTimeout)
	defer cancel()
	count, err := n.declaredGroupCount(ctx)
	if err != nil {
		n.log.WithError(err).Warn("cannot read the number of groups; the next probe tries again")
		return false
	}
	n.groupCount = count
	if count == 1 {
		n.groupNumber.Store(0)
		return true
	}
	var candidates []membership.Group
	for i := range count {
		group := core.GroupID{Service: n.cfg.Service, Number: i}
		if n.fullGroups[i] {
			full := make([]core.Member, membership.MaxGroupSize)
			candidates = append(candidates, membership.Group{Number: i, Members: full})
			continue
		}
		res, err := n.store.Do(ctx, store.Op{Kind: store.OpGet, Key: groupRecordKey(group), MaxAge: maxRecordAge})
		if storeErrorKind(err) == store.KindNotFound && err != nil {
			continue
		}
		if err != nil {
			return false
		}
		if rec, err := decodeGroupRecord(res.Object.Value); err == nil {
			candidates = append(candidates, membership.Group{Number: i, Members: rec.Table.Members})
		}
	}
	number, ok := membership.ChooseGroup(n.self, candidates, count)
	n.groupNumber.Store(number)
	if !ok {
		n.log.Error("all groups of the service are full; the next probe tries again")
		clear(n.fullGroups) // members may leave; read the records again
	}
	return ok
}

// declaredGroupCount returns the number of groups of the node's service: from
// Config.GroupCounts when it is more than 1, else from the declaration in the
// store. It is 1 when nothing is declared.
func (n *Node) declaredGroupCount(ctx context.Context) (uint32, error) {
	if count := n.cfg.GroupCounts[n.cfg.Service]; count > 1 {
		return count, nil
	}
	res, err := n.store.Do(ctx, store.Op{Kind: store.OpGet, Key: intent.ObjectKey, MaxAge: maxRecordAge})
	if err != nil {
		if storeErrorKind(err) == store.KindNotFound {
			return 1, nil
		}
		return 0, err
	}
	config, err := intent.DecodeConfig(res.Object.Value)
	if err != nil {
		return 0, err
	}
	service, _ := config.Declaration.Service(n.cfg.Service)
	return uint32(max(1, service.Groups)), nil
}
