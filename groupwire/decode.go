package groupwire

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"marjoramshore.example/core"
	pb "marjoramshore.example/groupwire/groupv1"
	"marjoramshore.example/ownership"
)

// Decoder decodes the messages that are addressed to one run of a node, Self,
// as a member of one group.
type Decoder struct {
	Group core.GroupID
	Self  ownership.Run
}

// Decode returns the message in b. It returns a *core.Error with CodeInvalid if
// b is not a well-formed message of the group, or is addressed to another run,
// such as a former run of the same node.
func (d Decoder) Decode(b []byte) (ownership.Message, error) {
	env := new(pb.Envelope)
	if err := proto.Unmarshal(b, env); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "group message: decode")
	}
	switch {
	case env.Group != groupHash(d.Group) || env.From.GetNode() == "":
		return nil, core.Fail(core.CodeInvalid, "group message: wrong group or no sender")
	case env.To != uint64(d.Self.Incarnation):
		return nil, core.Fail(core.CodeInvalid, "group message: addressed to another run")
	}
	return decodeMessage(d.Group, decodeRun(env.From), d.Self, env)
}

func decodeMessage(g core.GroupID, from, to ownership.Run, env *pb.Envelope) (ownership.Message, error) {
	switch p := env.Message.(type) {
	case *pb.Envelope_Renew:
		return decodeRenew(g, from, p.Renew), nil
	case *pb.Envelope_RenewAnswer:
		return decodeRenewAnswer(g, from, to, p.RenewAnswer)
	case *pb.Envelope_PromiseRequest:
		return decodePromiseRequest(g, from, to, p.PromiseRequest)
	case *pb.Envelope_PromiseAnswer:
		a := p.PromiseAnswer
		return &ownership.PromiseAnswer{Group: g, From: from, Term: a.GetTerm(), Seq: a.GetSeq(),
			Verdict: ownership.Verdict(a.GetVerdict()), MayReassign: a.GetMayReassign(), Version: a.GetVersion()}, nil
	case *pb.Envelope_TablePush:
		t, err := decodeTable(p.TablePush.GetTable())
		return &ownership.TablePush{Group: g, From: from, Term: p.TablePush.GetTerm(), Table: t}, err
	case *pb.Envelope_ActingRequest:
		a := p.ActingRequest
		return &ownership.ActingRequest{Group: g, From: from, To: to, Term: a.GetTerm(), Seq: a.GetSeq(), Version: a.GetVersion()}, nil
	case *pb.Envelope_ActingAnswer:
		a := p.ActingAnswer
		return &ownership.ActingAnswer{Group: g, From: from, Term: a.GetTerm(), Seq: a.GetSeq(), Verdict: ownership.Verdict(a.GetVerdict())}, nil
	case *pb.Envelope_TermNotice:
		n := p.TermNotice
		return &ownership.TermNotice{Group: g, From: decodeMember(n.GetFrom()), Term: n.GetTerm(), Acting: n.GetActing()}, nil
	case *pb.Envelope_StepDown:
		return &ownership.StepDown{Group: g, From: from, Term: p.StepDown.GetTerm(), Version: p.StepDown.GetVersion()}, nil
	default:
		return decodeMove(g, from, env)
	}
}

func decodeMove(g core.GroupID, from ownership.Run, env *pb.Envelope) (ownership.Message, error) {
	switch p := env.Message.(type) {
	case *pb.Envelope_MoveStop:
		s := p.MoveStop
		return &ownership.MoveStop{Group: g, From: from, Term: s.GetTerm(), Move: s.GetMove(),
			Range: decodeRange(s.GetRange()), Token: decodeToken(s.GetToken()), To: decodeMember(s.GetTo())}, nil
	case *pb.Envelope_MoveReleased:
		r := p.MoveReleased
		out := &ownership.MoveReleased{Group: g, From: from, Term: r.GetTerm(), Move: r.GetMove(),
			Range: decodeRange(r.GetRange()), Token: decodeToken(r.GetToken())}
		for _, h := range r.GetKeep() {
			out.Keep = append(out.Keep, core.Hash(h))
		}
		return out, nil
	case *pb.Envelope_MoveFailed:
		return &ownership.MoveFailed{Group: g, From: from, Term: p.MoveFailed.GetTerm(), Move: p.MoveFailed.GetMove()}, nil
	case *pb.Envelope_MoveRequest:
		r := p.MoveRequest
		return &ownership.MoveRequest{Group: g, From: from, Term: r.GetTerm(), Range: decodeRange(r.GetRange()), To: decodeRun(r.GetTo())}, nil
	default:
		return nil, core.Fail(core.CodeInvalid, "group message: unknown message type")
	}
}

func decodeRenew(g core.GroupID, from ownership.Run, r *pb.Renew) *ownership.Renew {
	out := &ownership.Renew{Group: g, From: from, Term: r.GetTerm(), Seq: r.GetSeq(), Table: decodeToken(r.GetTable()),
		Revision: core.Revision(r.GetRevision()), Draining: r.GetDraining(), Stopping: r.GetStopping(), Leaving: r.GetLeaving(), Answered: r.GetSeq() - r.GetUnanswered()}
	if r.GetJoin() != nil {
		m := decodeMember(r.Join)
		out.Join = &m
	}
	if r.GetClaim() != nil {
		out.Claim = &ownership.Claim{Term: r.Claim.Term}
		for _, h := range r.Claim.Ranges {
			out.Claim.Ranges = append(out.Claim.Ranges, ownership.HeldRange{Range: decodeRange(h.GetRange()), Token: decodeToken(h.GetToken())})
		}
	}
	return out
}

func decodeRenewAnswer(g core.GroupID, from, to ownership.Run, a *pb.RenewAnswer) (ownership.Message, error) {
	out := &ownership.RenewAnswer{Group: g, From: from, To: to, Term: a.GetTerm(), Seq: a.GetSeq(),
		Verdict: ownership.Verdict(a.GetVerdict()), Acting: a.GetActing(), Table: decodeToken(a.GetTable()),
		Revision: core.Revision(a.GetRevision()), DrainAccepted: a.GetDrainAccepted(), Removed: a.GetRemoved()}
	if a.GetCoordinator() != nil {
		m := decodeMember(a.Coordinator)
		out.Coordinator = &m
	}
	var err error
	if a.GetNewTable() != nil {
		out.NewTable, err = decodeTable(a.NewTable)
	}
	return out, err
}

func decodePromiseRequest(g core.GroupID, from, to ownership.Run, r *pb.PromiseRequest) (ownership.Message, error) {
	out := &ownership.PromiseRequest{Group: g, From: from, To: to, Term: r.GetTerm(), Seq: r.GetSeq(),
		Version: r.GetVersion(), Revision: core.Revision(r.GetRevision()), Active: r.GetActive(), Answered: r.GetSeq() - r.GetUnanswered()}
	if len(r.GetRecord()) == 0 {
		return out, nil
	}
	out.Record = new(ownership.GroupRecord)
	if err := json.Unmarshal(r.Record, out.Record); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "group record: decode")
	}
	return out, out.Record.Table.Validate()
}

func decodeRun(r *pb.Run) ownership.Run {
	return ownership.Run{Node: core.NodeID(r.GetNode()), Incarnation: core.Incarnation(r.GetIncarnation())}
}

func decodeToken(t *pb.Token) core.Token {
	return core.Token{Term: t.GetTerm(), Sequence: t.GetSequence()}
}

func decodeRange(r *pb.Range) core.Range {
	return core.Range{Lo: core.Hash(r.GetLo()), Hi: core.Hash(r.GetHi())}
}

func decodeMember(m *pb.Member) core.Member {
	return core.Member{Node: core.NodeID(m.GetRun().GetNode()), Incarnation: core.Incarnation(m.GetRun().GetIncarnation()),
		DataCentre: core.DataCentre(m.GetDataCentre()), Address: m.GetAddress(), CallerAddress: m.GetCallerAddress(),
		ChecksTokens: m.GetChecksTokens()}
}

// decodeTable decodes and validates a table. On the wire, owner 0 stands for
// core.NoOwner and owner n+1 for the member with index n.
func decodeTable(t *pb.Table) (*core.Table, error) {
	if t == nil {
		return nil, core.Fail(core.CodeInvalid, "group message: assignment table missing")
	}
	out := &core.Table{Group: core.GroupID{Service: core.Service(t.Service), Number: t.Group}, Version: decodeToken(t.Version)}
	for _, m := range t.Members {
		out.Members = append(out.Members, decodeMember(m))
	}
	for _, e := range t.Entries {
		out.Entries = append(out.Entries, core.Entry{Range: decodeRange(e.GetRange()), Owner: int(e.GetOwner()) - 1, Token: decodeToken(e.GetToken())})
	}
	return out, out.Validate()
}

// DecodeTable returns the assignment table in b, or a *core.Error with
// CodeInvalid if b is malformed or the table is not valid.
func DecodeTable(b []byte) (*core.Table, error) {
	t := new(pb.Table)
	if err := proto.Unmarshal(b, t); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "assignment table: decode")
	}
	return decodeTable(t)
}
