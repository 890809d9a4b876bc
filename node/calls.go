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
	callGroup    = "group"
	callTable    = "table"
	callHandOver = "hand-over"
)

func (n *Node) calls() map[string]transport.CallFunc {
	return map[string]transport.CallFunc{
		callGroup:             n.receiveGroup,
		callTable:             n.answerTable,
		callHandOver:          n.receiveHandOver,
		callConfig:            n.answerConfig,
		callEject:             n.answerEject,
		callMarks:             n.receiveMarks,
		callBurn:              n.answerBurn,
		callLoad:              n.receiveLoad,
		control.MethodReport:  func(ctx context.Context, b []byte) ([]byte, error) { return n.control.AnswerReport(ctx, b) },
		control.MethodLift:    n.answerLift,
		control.MethodExplain: func(ctx context.Context, b []byte) ([]byte, error) { return n.control.ExplainOwned(ctx, b) },
	}
}

func (n *Node) group() core.GroupID {
	return core.GroupID{Service: n.cfg.Service, Number: n.number.Load()}
}

// receiveGroup takes one message of the lease protocol.
func (n *Node) receiveGroup(ctx context.Context, payload []byte) ([]byte, error) {
	d := n.lease.Load()
	if d == nil {
		return nil, core.Fail(core.CodeUnavailable, "not a member yet")
	}
	m, err := groupwire.Decoder{Group: n.group(), Self: ownership.RunOf(n.self)}.Decode(payload)
	if err != nil {
		return nil, err
	}
	if err := d.Submit(ctx, ownership.MessageReceived{Message: m}); err != nil {
		return nil, core.Wrap(core.CodeOverloaded, err, "lease duty is behind")
	}
	return nil, nil
}

// answerTable returns a table that is newer than the asker's, or nothing.
func (n *Node) answerTable(_ context.Context, payload []byte) ([]byte, error) {
	req, err := groupwire.DecodeTableRequest(payload)
	if err != nil {
		return nil, err
	}
	t := n.tables.View().Table(req.Group)
	if t == nil || !req.KnownVersion.Less(t.Version) {
		return nil, nil
	}
	return groupwire.EncodeTable(t)
}

// receiveHandOver takes the at-most-once records of a range that moves here.
func (n *Node) receiveHandOver(ctx context.Context, payload []byte) ([]byte, error) {
	r, t, err := groupwire.DecodeTransfer(payload)
	if err != nil {
		return nil, err
	}
	return nil, n.owner.ImportRecords(ctx, r, t)
}

// handOver sends the records of a range to its next owner. After a failure
// this node goes on to serve the range.
func (n *Node) handOver(ctx context.Context, h ownership.HandOver) ([]core.Hash, error) {
	t, keep, err := n.owner.HandOver(ctx, h.Range)
	if err != nil {
		return nil, err
	}
	return keep, n.sendRecords(ctx, h, t)
}

// recordsPerCall bounds one part of a transfer. A record takes 51 bytes on the
// wire, and a control message at most 256 KiB.
const recordsPerCall = 2000

// sendRecords sends a transfer in parts. The last one holds the horizons, with
// which the next owner's knowledge of the range begins.
func (n *Node) sendRecords(ctx context.Context, h ownership.HandOver, t once.Transfer) error {
	for {
		part := once.Transfer{Records: t.Records[:min(recordsPerCall, len(t.Records))]}
		t.Records = t.Records[len(part.Records):]
		last := len(t.Records) == 0
		if last {
			part.Pieces = t.Pieces
		}
		b, err := groupwire.EncodeTransfer(h.Range, part)
		if err != nil {
			return err
		}
		if _, err := n.peers.Call(ctx, h.To.Address, callHandOver, b); err != nil || last {
			return err
		}
	}
}

// fetcher gets tables for the entrance: from a member of the group, and from
// the store when no member answers.
type fetcher struct{ n *Node }

// maxAsked bounds the members asked for one table before the store is read.
const maxAsked = 2

// Fetch implements entrance.Fetcher.
func (f *fetcher) Fetch(ctx context.Context, g core.GroupID, held *core.Table) (*core.Table, error) {
	if held != nil {
		asked := 0
		for _, at := range rand.Perm(len(held.Members)) {
			if held.Members[at].SameRun(f.n.self) {
				continue
			}
			if asked++; asked > maxAsked {
				break
			}
			t, err := f.ask(ctx, held.Members[at].Address, groupwire.TableRequest{Group: g, KnownVersion: held.Version})
			if err == nil {
				return t, nil
			}
		}
	}
	return f.read(ctx, g)
}

func (f *fetcher) ask(ctx context.Context, addr string, req groupwire.TableRequest) (*core.Table, error) {
	b, err := groupwire.EncodeTableRequest(req)
	if err != nil {
		return nil, err
	}
	resp, err := f.n.peers.Call(ctx, addr, callTable, b)
	if err != nil || len(resp) == 0 {
		return nil, err
	}
	return groupwire.DecodeTable(resp)
}

func (f *fetcher) read(ctx context.Context, g core.GroupID) (*core.Table, error) {
	res, err := f.n.store.Do(ctx, store.Op{Kind: store.OpGet, Key: groupKey(g), AllowStale: true})
	if err != nil {
		return nil, err
	}
	rec, err := decodeRecord(res.Object.Value)
	if err != nil {
		return nil, err
	}
	return &rec.Table, nil
}
