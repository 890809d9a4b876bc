package node

import (
	"context"
	"math/rand/v2"

	"marjoramshore.example/control"
	"marjoramshore.example/core"
	"marjoramshore.example/groupwire"
	"marjoramshore.example/once"
	"marjoramshore.example/ownership"
	"marjoramshore.example/store"
	"marjoramshore.example/transport"
)

// Control methods between nodes.
const (
	methodGroup    = "group"
	methodTable    = "table"
	methodHandOver = "hand-over"
)

// controlHandlers returns the handlers of calls from other nodes, by method.
func (n *Node) controlHandlers() map[string]transport.CallFunc {
	return map[string]transport.CallFunc{
		methodGroup:                  n.handleGroupMessage,
		methodTable:                  n.handleTable,
		methodHandOver:               n.handleHandOver,
		methodConfig:                 n.handleConfig,
		methodEject:                  n.handleEject,
		methodMarks:                  n.handleMarks,
		methodBurn:                   n.handleBurn,
		methodLoad:                   n.handleLoad,
		control.MethodReport:         func(ctx context.Context, b []byte) ([]byte, error) { return n.control.HandleReport(ctx, b) },
		control.MethodLiftQuarantine: n.handleLift,
		control.MethodExplain:        func(ctx context.Context, b []byte) ([]byte, error) { return n.control.HandleExplain(ctx, b) },
	}
}

func (n *Node) groupID() core.GroupID {
	return core.GroupID{Service: n.cfg.Service, Number: n.groupNumber.Load()}
}

// handleGroupMessage passes one message of the lease protocol on to the lease
// duty.
func (n *Node) handleGroupMessage(ctx context.Context, payload []byte) ([]byte, error) {
	runner := n.leaseRunner.Load()
	if runner == nil {
		return nil, core.Fail(core.CodeUnavailable, "this node has not joined a group yet")
	}
	message, err := groupwire.Decoder{Group: n.groupID(), Self: ownership.RunOf(n.self)}.Decode(payload)
	if err != nil {
		return nil, err
	}
	if err := runner.Submit(ctx, ownership.MessageReceived{Message: message}); err != nil {
		return nil, core.Wrap(core.CodeOverloaded, err, "queue of the lease duty is full")
	}
	return nil, nil
}

// handleTable returns the group's table if it is newer than the requester's,
// else an empty answer.
func (n *Node) handleTable(_ context.Context, payload []byte) ([]byte, error) {
	req, err := groupwire.DecodeTableRequest(payload)
	if err != nil {
		return nil, err
	}
	table := n.routingTables.View().Table(req.Group)
	if table == nil || !req.KnownVersion.Less(table.Version) {
		return nil, nil
	}
	return groupwire.EncodeTable(table)
}

// handleHandOver imports at-most-once records of a range that moves to this
// node.
func (n *Node) handleHandOver(ctx context.Context, payload []byte) ([]byte, error) {
	keyRange, records, err := groupwire.DecodeTransfer(payload)
	if err != nil {
		return nil, err
	}
	return nil, n.owner.ImportRecords(ctx, keyRange, records)
}

// handOver sends the at-most-once records of a range to its next owner, and
// returns the hashes that stay here. After an error this node continues to
// serve the range.
func (n *Node) handOver(ctx context.Context, handOver ownership.HandOver) ([]core.Hash, error) {
	records, keep, err := n.owner.HandOver(ctx, handOver.Range)
	if err != nil {
		return nil, err
	}
	return keep, n.sendRecords(ctx, handOver, records)
}

// recordsPerCall is the largest number of records in one call of a transfer. A
// record takes 51 bytes on the wire, and a control message may take 256 KiB.
const recordsPerCall = 2000

// sendRecords sends a transfer in parts. The pieces of the range with their
// horizons come last, because the next owner takes its records of the range as
// complete from then on.
func (n *Node) sendRecords(ctx context.Context, handOver ownership.HandOver, remaining once.Transfer) error {
	for {
		part := once.Transfer{Records: remaining.Records[:min(recordsPerCall, len(remaining.Records))]}
		remaining.Records = remaining.Records[len(part.Records):]
		last := len(remaining.Records) == 0
		if last {
			part.Pieces = remaining.Pieces
		}
		payload, err := groupwire.EncodeTransfer(handOver.Range, part)
		if err != nil {
			return err
		}
		if _, err := n.peerClient.Call(ctx, handOver.To.Address, methodHandOver, payload); err != nil || last {
			return err
		}
	}
}

// tableFetcher fetches tables for the entrance: from a member of the group, or
// from the store when no member answers.
type tableFetcher struct{ node *Node }

// maxTableCalls is the number of members that are asked for a table before it is
// read from the store.
const maxTableCalls = 2

// Fetch implements entrance.TableFetcher.
func (f *tableFetcher) Fetch(ctx context.Context, g core.GroupID, held *core.Table) (*core.Table, error) {
	if held != nil {
		calls := 0
		for _, i := range rand.Perm(len(held.Members)) {
			if held.Members[i].SameRun(f.node.self) {
				continue
			}
			if calls++; calls > maxTableCalls {
				break
			}
			table, err := f.fetchFromPeer(ctx, held.Members[i].Address, groupwire.TableRequest{Group: g, KnownVersion: held.Version})
			if err == nil {
				return table, nil
			}
		}
	}
	return f.fetchFromStore(ctx, g)
}

func (f *tableFetcher) fetchFromPeer(ctx context.Context, addr string, req groupwire.TableRequest) (*core.Table, error) {
	payload, err := groupwire.EncodeTableRequest(req)
	if err != nil {
		return nil, err
	}
	resp, err := f.node.peerClient.Call(ctx, addr, methodTable, payload)
	if err != nil || len(resp) == 0 {
		return nil, err
	}
	return groupwire.DecodeTable(resp)
}

func (f *tableFetcher) fetchFromStore(ctx context.Context, g core.GroupID) (*core.Table, error) {
	res, err := f.node.store.Do(ctx, store.Op{Kind: store.OpGet, Key: groupRecordKey(g), AllowStale: true})
	if err != nil {
		return nil, err
	}
	rec, err := decodeGroupRecord(res.Object.Value)
	if err != nil {
		return nil, err
	}
	return &rec.Table, nil
}
