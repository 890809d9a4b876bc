package groupwire

import (
	"encoding/json"
	"strconv"

	"google.golang.org/protobuf/proto"

	"marjoramshore.example/core"
	pb "marjoramshore.example/groupwire/groupv1"
	"marjoramshore.example/ownership"
)

// Encode returns the encoding of m, addressed to one run of a node.
func Encode(to ownership.Run, m ownership.Message) ([]byte, error) {
	env, err := encodeEnvelope(m)
	if err != nil {
		return nil, err
	}
	env.To = uint64(to.Incarnation)
	b, err := proto.Marshal(env)
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "group message: encode")
	}
	return b, nil
}

// groupHash returns the hash that identifies a group in messages, which is
// shorter than its name. A collision is harmless, because the receiver's
// incarnation must match as well.
func groupHash(g core.GroupID) uint32 {
	return uint32(core.HashKey(string(g.Service)+"/"+strconv.FormatUint(uint64(g.Number), 10)) >> 32)
}

// newEnvelope returns an Envelope without message and receiver.
func newEnvelope(g core.GroupID, from ownership.Run) *pb.Envelope {
	return &pb.Envelope{Group: groupHash(g), From: encodeRun(from)}
}

func encodeEnvelope(m ownership.Message) (*pb.Envelope, error) {
	switch m := m.(type) {
	case *ownership.Renew:
		return encodeRenew(m), nil
	case *ownership.RenewAnswer:
		return encodeRenewAnswer(m), nil
	case *ownership.PromiseRequest:
		return encodePromiseRequest(m)
	case *ownership.PromiseAnswer:
		env := newEnvelope(m.Group, m.From)
		env.Message = &pb.Envelope_PromiseAnswer{PromiseAnswer: &pb.PromiseAnswer{
			Term: m.Term, Seq: m.Seq, Verdict: uint32(m.Verdict), MayReassign: m.MayReassign, Version: m.Version}}
		return env, nil
	case *ownership.TablePush:
		env := newEnvelope(m.Group, m.From)
		env.Message = &pb.Envelope_TablePush{TablePush: &pb.TablePush{Term: m.Term, Table: encodeTable(m.Table)}}
		return env, nil
	case *ownership.ActingRequest:
		env := newEnvelope(m.Group, m.From)
		env.Message = &pb.Envelope_ActingRequest{ActingRequest: &pb.ActingRequest{Term: m.Term, Seq: m.Seq, Version: m.Version}}
		return env, nil
	case *ownership.ActingAnswer:
		env := newEnvelope(m.Group, m.From)
		env.Message = &pb.Envelope_ActingAnswer{ActingAnswer: &pb.ActingAnswer{Term: m.Term, Seq: m.Seq, Verdict: uint32(m.Verdict)}}
		return env, nil
	case *ownership.TermNotice:
		env := newEnvelope(m.Group, ownership.RunOf(m.From))
		env.Message = &pb.Envelope_TermNotice{TermNotice: &pb.TermNotice{From: encodeMember(m.From), Term: m.Term, Acting: m.Acting}}
		return env, nil
	case *ownership.StepDown:
		env := newEnvelope(m.Group, m.From)
		env.Message = &pb.Envelope_StepDown{StepDown: &pb.StepDown{Term: m.Term, Version: m.Version}}
		return env, nil
	default:
		return encodeMove(m)
	}
}

func encodeMove(m ownership.Message) (*pb.Envelope, error) {
	switch m := m.(type) {
	case *ownership.MoveStop:
		env := newEnvelope(m.Group, m.From)
		env.Message = &pb.Envelope_MoveStop{MoveStop: &pb.MoveStop{Term: m.Term, Move: m.Move,
			Range: encodeRange(m.Range), Token: encodeToken(m.Token), To: encodeMember(m.To)}}
		return env, nil
	case *ownership.MoveReleased:
		env := newEnvelope(m.Group, m.From)
		keep := make([]uint64, len(m.Keep))
		for i, h := range m.Keep {
			keep[i] = uint64(h)
		}
		env.Message = &pb.Envelope_MoveReleased{MoveReleased: &pb.MoveReleased{Term: m.Term, Move: m.Move,
			Range: encodeRange(m.Range), Token: encodeToken(m.Token), Keep: keep}}
		return env, nil
	case *ownership.MoveFailed:
		env := newEnvelope(m.Group, m.From)
		env.Message = &pb.Envelope_MoveFailed{MoveFailed: &pb.MoveFailed{Term: m.Term, Move: m.Move}}
		return env, nil
	case *ownership.MoveRequest:
		env := newEnvelope(m.Group, m.From)
		env.Message = &pb.Envelope_MoveRequest{MoveRequest: &pb.MoveRequest{Term: m.Term, Range: encodeRange(m.Range), To: encodeRun(m.To)}}
		return env, nil
	default:
		return nil, core.Fail(core.CodeInternal, "group message: unknown message type")
	}
}

func encodeRenew(m *ownership.Renew) *pb.Envelope {
	r := &pb.Renew{Term: m.Term, Seq: m.Seq, Table: encodeToken(m.Table), Revision: uint64(m.Revision),
		Draining: m.Draining, Stopping: m.Stopping, Leaving: m.Leaving, Unanswered: m.Seq - m.Answered}
	if m.Join != nil {
		r.Join = encodeMember(*m.Join)
	}
	if m.Claim != nil {
		r.Claim = &pb.Claim{Term: m.Claim.Term}
		for _, h := range m.Claim.Ranges {
			r.Claim.Ranges = append(r.Claim.Ranges, &pb.HeldRange{Range: encodeRange(h.Range), Token: encodeToken(h.Token)})
		}
	}
	env := newEnvelope(m.Group, m.From)
	env.Message = &pb.Envelope_Renew{Renew: r}
	return env
}

func encodeRenewAnswer(m *ownership.RenewAnswer) *pb.Envelope {
	a := &pb.RenewAnswer{Term: m.Term, Seq: m.Seq, Verdict: uint32(m.Verdict), Acting: m.Acting,
		Table: encodeToken(m.Table), NewTable: encodeTable(m.NewTable), Revision: uint64(m.Revision),
		DrainAccepted: m.DrainAccepted, Removed: m.Removed}
	if m.Coordinator != nil {
		a.Coordinator = encodeMember(*m.Coordinator)
	}
	env := newEnvelope(m.Group, m.From)
	env.Message = &pb.Envelope_RenewAnswer{RenewAnswer: a}
	return env
}

func encodePromiseRequest(m *ownership.PromiseRequest) (*pb.Envelope, error) {
	r := &pb.PromiseRequest{Term: m.Term, Seq: m.Seq, Version: m.Version, Revision: uint64(m.Revision), Active: m.Active, Unanswered: m.Seq - m.Answered}
	if m.Record != nil {
		b, err := json.Marshal(m.Record)
		if err != nil {
			return nil, core.Wrap(core.CodeInternal, err, "group record: encode")
		}
		r.Record = b
	}
	env := newEnvelope(m.Group, m.From)
	env.Message = &pb.Envelope_PromiseRequest{PromiseRequest: r}
	return env, nil
}

func encodeRun(r ownership.Run) *pb.Run {
	return &pb.Run{Node: string(r.Node), Incarnation: uint64(r.Incarnation)}
}

// encodeToken omits the zero Token, which decodeToken restores.
func encodeToken(t core.Token) *pb.Token {
	if t.IsZero() {
		return nil
	}
	return &pb.Token{Term: t.Term, Sequence: t.Sequence}
}

func encodeRange(r core.Range) *pb.Range { return &pb.Range{Lo: uint64(r.Lo), Hi: uint64(r.Hi)} }

func encodeMember(m core.Member) *pb.Member {
	return &pb.Member{Run: encodeRun(ownership.RunOf(m)), DataCentre: string(m.DataCentre),
		Address: m.Address, CallerAddress: m.CallerAddress, ChecksTokens: m.ChecksTokens}
}

func encodeTable(t *core.Table) *pb.Table {
	if t == nil {
		return nil
	}
	out := &pb.Table{Service: string(t.Group.Service), Group: t.Group.Number, Version: encodeToken(t.Version)}
	for _, m := range t.Members {
		out.Members = append(out.Members, encodeMember(m))
	}
	for _, e := range t.Entries {
		out.Entries = append(out.Entries, &pb.Entry{Range: encodeRange(e.Range), Owner: uint32(e.Owner + 1), Token: encodeToken(e.Token)})
	}
	return out
}

// EncodeTable returns the encoding of an assignment table.
func EncodeTable(t *core.Table) ([]byte, error) {
	b, err := proto.Marshal(encodeTable(t))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "assignment table: encode")
	}
	return b, nil
}
